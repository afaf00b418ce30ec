package proxy

import (
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// authenticate finds a job's tenant by the request's credential. A job may have no tenant if the
// table has none or if the path requires no credential.
func (handler *Handler) authenticate(j *Job, index *spec.Index) error {
	if len(j.View.Table.Tenants) == 0 {
		return nil
	}
	if secret := handler.deps.Headers.Credential(j.Req); secret != "" {
		j.Credential = spec.CredentialOf(secret)
		j.Tenant = index.Tenant(j.Credential)
	}
	if j.Tenant == nil && !j.Path.Keyless {
		return code.New(code.UnknownKey, "the request carries no credential that is known")
	}
	return nil
}

// stillAuthorized reports whether a job's credential still belongs to its tenant. A job whose
// credential is withdrawn while it waits must not run.
func (handler *Handler) stillAuthorized(j *Job) bool {
	if j.Tenant == nil {
		return true
	}
	view := handler.deps.View()
	if view.Version == j.View.Version {
		return true
	}
	tenant := handler.index(view).Tenant(j.Credential)
	return tenant != nil && tenant.Name == j.Tenant.Name
}

// pathRanksPerTenantRank is the number of path ranks within one tenant rank.
const pathRanksPerTenantRank = 3

// rank returns a job's priority, 0 being the highest. The tenant's rank takes precedence; the
// path's rank orders the jobs of tenants of equal rank.
func (j *Job) rank() int {
	if j.Tenant == nil || j.Tenant.Rank == nil {
		return j.Path.Rank
	}
	return *j.Tenant.Rank*pathRanksPerTenantRank + min(j.Path.Rank, pathRanksPerTenantRank-1)
}
