package proxy

import (
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// authenticate finds the tenant of a job by the credential that its caller carries. Where the
// table has no tenants, or the path asks for no credential, a job may have none.
func (handler *Handler) authenticate(j *Job, index *spec.Index) error {
	if len(j.View.Table.Tenants) == 0 {
		return nil
	}
	if secret := handler.dependencies.Headers.Credential(j.Req); secret != "" {
		j.Credential = spec.CredentialOf(secret)
		j.Tenant = index.Tenant(j.Credential)
	}
	if j.Tenant == nil && !j.Path.Keyless {
		return code.New(code.UnknownKey, "the request carries no credential that is known")
	}
	return nil
}

// stillAuthorized reports whether a job's credential is still its tenant's: a credential that
// was withdrawn while the job waited must not let it run.
func (handler *Handler) stillAuthorized(j *Job) bool {
	if j.Tenant == nil {
		return true
	}
	view := handler.dependencies.View()
	if view.Version == j.View.Version {
		return true
	}
	tenant := handler.index(view).Tenant(j.Credential)
	return tenant != nil && tenant.Name == j.Tenant.Name
}

// tenantRanks is how many ranks of paths lie between two ranks of tenants.
const pathRanksPerTenantRank = 3

// rank is a job's precedence, 0 first. The tenant's goes before the path's, which orders the
// jobs of tenants of one rank.
func (j *Job) rank() int {
	if j.Tenant == nil || j.Tenant.Rank == nil {
		return j.Path.Rank
	}
	return *j.Tenant.Rank*pathRanksPerTenantRank + min(j.Path.Rank, pathRanksPerTenantRank-1)
}
