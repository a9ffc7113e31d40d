package operator

import (
	"net/http"
	"runtime/debug"

	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/syncx"
	"github.com/zeromicro/go-zero/rest"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
)

// limitCalls rejects a call if limit calls are already running, so that a burst of calls can't
// exhaust the node's memory. It replaces go-zero's own limit, whose response contains no problem.
func limitCalls(limit int) rest.Middleware {
	running := syncx.NewLimit(limit)
	return func(next http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if !running.TryBorrow() {
				writeProblem(w, &ridgeswitchv1.Problem{
					Kind:    string(KindUnavailable),
					Message: "the node serves too many calls at once; come back later or ask another node",
				})
				return
			}
			defer func() { //nolint:contextcheck // the context of the call is used
				if err := running.Return(); err != nil {
					logx.WithContext(r.Context()).Error(err)
				}
			}()
			next(w, r)
		}
	}
}

// recoverCalls responds to a call that panicked, and keeps the node running.
func recoverCalls(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		defer func() { //nolint:contextcheck // the context of the call is used
			if cause := recover(); cause != nil {
				logx.WithContext(r.Context()).Errorf("call %s %s panicked: %v\n%s", r.Method, r.URL.Path, cause, debug.Stack())
				writeProblem(w, &ridgeswitchv1.Problem{
					Kind:    string(KindInternal),
					Message: "the node failed on this call, which may have taken effect; resend it unchanged, to another node",
				})
			}
		}()
		next(w, r)
	}
}
