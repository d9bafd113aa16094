package scenarios

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/filbertmux/filbertmux/base/infra"
)

// Guards against these failures in a network partition between two regions: a
// booking that runs twice or is wrongly answered not_run, lookups or completions
// that fail, and a process whose table stays behind or goes back.
func TestRegionsApart(t *testing.T) { runScript(t, "regions-apart") }

func init() {
	commands["platform-view"] = command(2, (*scriptCommand).platformView)
	commands["view-instances"] = command(1, (*scriptCommand).viewInstances)
	commands["cut"] = command(2, (*scriptCommand).cut)
	commands["since-now"] = command(1, (*scriptCommand).sinceNow)
}

// platformView is a proxy for the platform in one region. It serves its own
// instance list and forwards all other requests through a link. It is safe for
// concurrent use.
type platformView struct {
	proxy *httputil.ReverseProxy

	mu   sync.Mutex
	list []infra.Instance
}

// ServeHTTP implements http.Handler.
func (v *platformView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != infra.InstancePath {
		v.proxy.ServeHTTP(w, r)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = json.NewEncoder(w).Encode(v.list)
}

// platformViews maps the address of each view, in all scripts, to its
// *platformView.
var platformViews sync.Map

// platformView starts a platformView that reaches the platform through a link,
// and sets NAME to its address.
func (r *scriptCommand) platformView(args []string) error {
	l := r.links[args[1]]
	if l == nil {
		return fmt.Errorf("no link %s", args[1])
	}
	v := &platformView{
		proxy: httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: l.address}),
		list:  []infra.Instance{},
	}
	v.proxy.Transport = &http.Transport{}
	v.proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }
	server := httptest.NewServer(v)
	r.Defer(server.CloseClientConnections)
	address := server.Listener.Addr().String()
	platformViews.Store(address, v)
	r.Setenv(args[0], address)
	return nil
}

// viewInstances sets the instance list of a view. The arguments are those of the
// command instances.
func (r *scriptCommand) viewInstances(args []string) error {
	found, ok := platformViews.Load(r.Getenv(args[0]))
	if !ok {
		return fmt.Errorf("no view %s", args[0])
	}
	list := []infra.Instance{}
	for _, arg := range args[1:] {
		row, err := r.row(arg)
		if err != nil {
			return err
		}
		list = append(list, row)
	}
	v := found.(*platformView)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = list
	return nil
}

// cut sets the mode of several links.
func (r *scriptCommand) cut(args []string) error {
	for _, name := range args[1:] {
		if err := r.linkMode([]string{name, args[0]}); err != nil {
			return err
		}
	}
	return nil
}

// sinceNow makes in-force measure from now instead of from the append.
func (r *scriptCommand) sinceNow(args []string) error {
	for _, name := range args {
		r.Setenv(name+"_time", strconv.FormatInt(time.Now().UnixMilli(), 10))
	}
	return nil
}
