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

// Guards against a cut between the regions that makes a booking run twice or
// gives a false not_run, stops lookups or completions, or leaves a process
// behind the table or takes it back to an older one.
func TestRegionsApart(t *testing.T) { runScript(t, "regions-apart") }

func init() {
	commands["platform-view"] = command(2, (*run).platformView)
	commands["view-instances"] = command(1, (*run).viewInstances)
	commands["cut"] = command(2, (*run).cut)
	commands["since-now"] = command(1, (*run).sinceNow)
}

// platformView is the platform as a region sees it: the instance list is its
// own, all else goes through a link. It is safe for concurrent use.
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

// views holds the view of each script by its address.
var views sync.Map

// platformView starts a view NAME that reaches the platform through a link.
func (r *run) platformView(args []string) error {
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
	views.Store(address, v)
	r.Setenv(args[0], address)
	return nil
}

// viewInstances sets the instance list of a view; the rows are those of the
// command instances.
func (r *run) viewInstances(args []string) error {
	found, ok := views.Load(r.Getenv(args[0]))
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
func (r *run) cut(args []string) error {
	for _, name := range args[1:] {
		if err := r.linkMode([]string{name, args[0]}); err != nil {
			return err
		}
	}
	return nil
}

// sinceNow lets in-force measure from now instead of from the append.
func (r *run) sinceNow(args []string) error {
	for _, name := range args {
		r.Setenv(name+"_time", strconv.FormatInt(time.Now().UnixMilli(), 10))
	}
	return nil
}
