package dgedge

import (
	"strings"

	"dandeliongap.example/dandeliongap/dgaccount"
	"dandeliongap.example/dandeliongap/dgadmit"
	"dandeliongap.example/dandeliongap/dgquota"
	"github.com/valyala/fasthttp"
)

// authenticate finds the account of a request in the configuration of v, or refuses the
// request (dgadmit A11). Without accounts in the configuration it does nothing.
func (r *request) authenticate(h *fasthttp.RequestHeader, v *view) dgadmit.Refusal {
	if v.accounts == nil {
		return dgadmit.Refusal{}
	}
	var values []string
	for name, value := range h.All() { // unlike Peek, without trailers
		if strings.EqualFold(string(name), fasthttp.HeaderAuthorization) {
			values = append(values, string(value))
		}
	}
	c := dgaccount.Parse(values)
	r.keyHash = dgaccount.ShortHash(c.Key)
	a, verdict := v.accounts.Check(c, r.route.Public)
	switch verdict {
	case dgaccount.KeyMissing:
		return dgadmit.NoKey()
	case dgaccount.KeyUnknown:
		return dgadmit.UnknownKey(v.stale)
	}
	if a != nil {
		r.account = a.Name
		if !r.route.Public {
			r.limit = dgquota.Limit{Rate: a.Rate, Burst: a.Burst}
		}
	}
	r.priority = dgaccount.Priority(a, r.route)
	return dgadmit.Refusal{}
}

// ownedByAccounts reports whether a header, whose name is in lower case, is not forwarded
// where there are accounts. Underscores count as hyphens, because some servers do not tell
// them apart in the names of headers.
func (e *Edge) ownedByAccounts(name string) bool {
	name = strings.ReplaceAll(name, "_", "-")
	return strings.EqualFold(name, fasthttp.HeaderAuthorization) || strings.EqualFold(name, e.opt.Dialect.AccountHeader)
}

// describeMalformed returns the text about a malformed request for the log. Where there are
// accounts, it ends before the part that quotes the request, which may have a key.
func (e *Edge) describeMalformed(err error) string {
	text := err.Error()
	if e.view.Load().accounts == nil {
		return text
	}
	if i := strings.IndexAny(text, "\"'`"); i >= 0 {
		text = text[:i]
	}
	text, _, _ = strings.Cut(text, ", contents")
	return clip(text)
}
