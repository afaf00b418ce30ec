// Package keys defines the keys of registers and blobs in the stores and the topics of
// broadcast items. Both are stored or sent, so their spelling must not change, even where
// the code now uses a different name.
package keys

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Cluster is the key of the register with the cluster's spec, kept by the cores.
const Cluster = "spec"

// Prefixes of register keys.
const (
	// ClaimPrefix is the prefix of claims, which record an idempotency key and the outcome
	// of its job.
	ClaimPrefix = "claim/"
	// BudgetPrefix is the prefix of the budgets of programs, formerly called purses.
	BudgetPrefix = "purse/"
	// CooldownPrefix is the prefix of cooldowns.
	CooldownPrefix = "cool/"
	// SingletonPrefix is the prefix of the epochs of singleton roles, formerly called duties.
	SingletonPrefix = "duty/"
	// OperationPrefix is the prefix of the operations of proxied requests that carry an
	// idempotency key.
	OperationPrefix = "op/"
)

// turnPrefix is the prefix of the blobs that hold conversation turns.
const turnPrefix = "turn/"

// proxyBudgets is the prefix of the budgets of proxied requests. It separates them from
// those of named turns, because callers choose the program names of proxied requests.
const proxyBudgets = BudgetPrefix + "raw/"

// Prefixes of the keys of a tenant, in which a digest replaces the tenant's name.
const (
	tenantBudgets = BudgetPrefix + "tenant/"
	tenantTurns   = "tenant-turn/"
)

// Topics of broadcast items.
const (
	// SpecTopic is the topic of new versions of the spec register.
	SpecTopic = "spec"
	// CooldownTopic is the topic of newly installed cooldowns.
	CooldownTopic = "cool"
)

// AssignerRole is the name of the singleton role that assigns runner capacity.
const AssignerRole = "deal"

// Claim returns the key of the claim of a program's idempotency key.
func Claim(program, idempotencyKey string) string {
	return ClaimPrefix + program + "/" + idempotencyKey
}

// Budget returns the key of a program's budget.
func Budget(program string) string { return BudgetPrefix + program }

// ProxyBudget returns the key of the budget of a program of proxied requests; tenant is
// empty if callers have no credentials.
func ProxyBudget(tenant, program string) string {
	if tenant == "" {
		return proxyBudgets + program
	}
	return tenantBudgets + digest(tenant) + "/" + program
}

// Operation returns the key of a tenant's operation.
func Operation(tenant, operationKey string) string {
	return OperationPrefix + digest(tenant, operationKey)
}

// digestBytes is the length of a digest; 128 bits make collisions negligible.
const digestBytes = 16

// digest maps names of any length and content to a hexadecimal string of fixed length.
func digest(names ...string) string {
	h := sha256.New()
	for _, name := range names {
		// The length prefix keeps different lists of names from hashing the same bytes.
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(name))))
		h.Write([]byte(name))
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// Cooldown returns the key of the register of a cooldown.
func Cooldown(key string) string { return CooldownPrefix + key }

// Singleton returns the key of the epoch of a singleton role.
func Singleton(role string) string { return SingletonPrefix + role }

// Turn returns the key of the blob of a turn.
func Turn(id string) string { return turnPrefix + id }

// ProxyTurn returns the key of the blob of a proxied turn; tenant is empty if callers have
// no credentials. A tenant cannot read the turns of another one.
func ProxyTurn(tenant, id string) string {
	if tenant == "" {
		return turnPrefix + id
	}
	return tenantTurns + digest(tenant) + "/" + id
}
