package spec

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math"
)

// Tenant is one of those on whose behalf callers send proxied requests.
type Tenant struct {
	Name string `json:"name"`
	// Credentials are the secrets by which its callers are known. They must not be logged,
	// nor stand in an error.
	Credentials []string `json:"credentials,omitempty"`
	// Rank goes before that of the path; nil: the tenant has none. 0 goes first.
	Rank *int `json:"rank,omitempty"`
	// RatePerS and Burst bound the tenant's requests over all nodes: in any span of
	// time so many a second, and Burst on top. A RatePerS of 0 is no bound.
	RatePerS float64 `json:"rate_per_s,omitempty"`
	Burst    float64 `json:"burst,omitempty"`
	// Origin is the item as its author wrote it, handed back unread.
	Origin json.RawMessage `json:"origin,omitempty"`
}

// Credential is a digest of a credential. Comparing digests takes a time that tells nothing
// about the credentials that are known.
type Credential [sha256.Size]byte

// CredentialOf makes the digest of a credential.
func CredentialOf(secret string) Credential { return sha256.Sum256([]byte(secret)) }

// checkTenants finds the first thing wrong with the tenants. What it says names no credential.
func checkTenants(all []Tenant) error {
	names := map[string]bool{}
	owners := map[Credential]string{}
	for i, n := range all {
		field := fmt.Sprintf("tenants[%d]", i)
		switch {
		case n.Name == "" || names[n.Name]:
			return bad(field+".name", "%q is empty or stands twice", n.Name)
		case !isFigure(n.RatePerS) || !isFigure(n.Burst) || n.Rank != nil && *n.Rank < 0:
			return bad(field, "a figure is negative or too large")
		}
		names[n.Name] = true
		for _, secret := range n.Credentials {
			if secret == "" {
				return bad(field+".credentials", "one of tenant %s is empty", n.Name)
			}
			c := CredentialOf(secret)
			if owner := owners[c]; owner != "" && owner != n.Name {
				return bad(field+".credentials", "tenants %s and %s share one", owner, n.Name)
			}
			owners[c] = n.Name
		}
	}
	return nil
}

// maxFigure bounds rates and bursts, so that sums of them stay exact.
const maxFigure = 1 << 40

func isFigure(f float64) bool { return !math.IsNaN(f) && f >= 0 && f <= maxFigure }

// tenantIndex finds a tenant by a credential, at a cost that does not grow with their number.
type tenantIndex struct {
	byCredential map[Credential]*Tenant
}

func newTenantIndex(all []Tenant) tenantIndex {
	x := tenantIndex{byCredential: map[Credential]*Tenant{}}
	for i := range all {
		for _, secret := range all[i].Credentials {
			x.byCredential[CredentialOf(secret)] = &all[i]
		}
	}
	return x
}

// Tenant finds who holds a credential; nil where nobody does.
func (x *Index) Tenant(c Credential) *Tenant { return x.tenants.byCredential[c] }
