// Package keys spells the keys of registers and blobs at the stores, and the topics of
// broadcast items. Both are stored or sent, so they keep their spelling, also where the
// code has come to use another word.
package keys

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Cluster is the key of the cluster's register, at the cores.
const Cluster = "spec"

// Prefixes of the keys of registers.
const (
	// ClaimPrefix is that of claims: idempotency keys and what became of their work.
	ClaimPrefix = "claim/"
	// BudgetPrefix is that of the budgets of programs, once called purses.
	BudgetPrefix = "purse/"
	// CooldownPrefix is that of cooldowns.
	CooldownPrefix = "cool/"
	// SingletonPrefix is that of the epochs of singleton roles, once called duties.
	SingletonPrefix = "duty/"
	// OperationPrefix is that of the operations of keyed proxied requests.
	OperationPrefix = "op/"
)

// turnPrefix is that of the blobs that hold turns of conversations.
const turnPrefix = "turn/"

// proxyBudgets separates the budgets of proxied requests, whose programs are named by
// their callers, from those of named turns.
const proxyBudgets = BudgetPrefix + "raw/"

// Those of a tenant, in whose names a digest stands for the tenant.
const (
	tenantBudgets = BudgetPrefix + "tenant/"
	tenantTurns   = "tenant-turn/"
)

// Topics of broadcast items.
const (
	// SpecTopic is that of versions of the spec register.
	SpecTopic = "spec"
	// CooldownTopic is that of cooldowns just installed.
	CooldownTopic = "cool"
)

// AssignerRole names the singleton role that assigns the runners' capacity.
const AssignerRole = "deal"

// Claim is the key of a claim: of a program and its idempotency key.
func Claim(program, idempotencyKey string) string {
	return ClaimPrefix + program + "/" + idempotencyKey
}

// Budget is the key of a program's budget.
func Budget(program string) string { return BudgetPrefix + program }

// ProxyBudget is the key of the budget of a program of proxied requests; tenant is empty
// where callers carry no credentials.
func ProxyBudget(tenant, program string) string {
	if tenant == "" {
		return proxyBudgets + program
	}
	return tenantBudgets + digest(tenant) + "/" + program
}

// Operation is the key of a tenant's operation.
func Operation(tenant, operationKey string) string {
	return OperationPrefix + digest(tenant, operationKey)
}

// digestBytes are enough that no two names are ever seen to have one digest.
const digestBytes = 16

// digest stands for names of any length and content.
func digest(names ...string) string {
	h := sha256.New()
	for _, name := range names {
		// The length goes first, so that no two lists of names are hashed alike.
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(name))))
		h.Write([]byte(name))
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// Cooldown is the key of a cooldown's register.
func Cooldown(key string) string { return CooldownPrefix + key }

// Singleton is the key of a singleton role's epoch.
func Singleton(role string) string { return SingletonPrefix + role }

// Turn is the key of a turn's blob.
func Turn(id string) string { return turnPrefix + id }

// ProxyTurn is the key of the blob of a proxied turn; tenant is empty where callers carry no
// credentials. A turn of one tenant is not found under another.
func ProxyTurn(tenant, id string) string {
	if tenant == "" {
		return turnPrefix + id
	}
	return tenantTurns + digest(tenant) + "/" + id
}
