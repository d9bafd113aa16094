package groupcontrol

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/rankgroup/rankapi"
)

// maxAnswerBytes bounds an answer of the backend server. A report with 58
// layers of 256 experts and 32 ranks has about 250 KB.
const maxAnswerBytes = 16 << 20

// backend is the client of the rank commands of the backend server. It is safe
// for concurrent use.
type backend struct {
	base   string
	client *http.Client
}

func newBackend(base string, client *http.Client) (*backend, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" {
		return nil, errkind.New(errkind.InvalidSettings, "address of rank commands %q: want http://host:port", base)
	}
	return &backend{base: base, client: client}, nil
}

func (b *backend) state(ctx context.Context) (rankapi.Response, error) {
	var a rankapi.Response
	return a, b.call(ctx, http.MethodGet, rankapi.RanksPath, nil, &a)
}

func (b *backend) report(ctx context.Context) (rankapi.Report, error) {
	var r rankapi.Report
	return r, b.call(ctx, http.MethodGet, rankapi.ReportPath, nil, &r)
}

func (b *backend) command(ctx context.Context, batch rankapi.Batch) (rankapi.Response, error) {
	body, err := json.Marshal(batch)
	if err != nil {
		return rankapi.Response{}, errors.Wrap(err, "encode rank commands")
	}
	var a rankapi.Response
	return a, b.call(ctx, http.MethodPost, rankapi.RanksPath, body, &a)
}

func (b *backend) putWeights(ctx context.Context, w rankapi.WeightsID, data []byte) error {
	path := rankapi.RanksPath + "/" + strconv.Itoa(int(w.Rank)) +
		"/weights/" + strconv.Itoa(w.Layer) + "/" + strconv.Itoa(int(w.Expert))
	return b.call(ctx, http.MethodPut, path, data, nil)
}

func (b *backend) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, b.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "new request")
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return errkind.Wrap(errkind.BackendUnavailable, err, "ranks")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errkind.Wrap(errkind.BackendUnavailable, err, "read answer of ranks")
	}
	switch {
	case resp.StatusCode == errkind.StaleFencingToken.Attributes().HTTPStatus:
		return errkind.New(errkind.StaleFencingToken, "ranks refused: %s", bytes.TrimSpace(data))
	case resp.StatusCode != http.StatusOK:
		return errkind.New(errkind.BackendFailed, "ranks answered %d: %s", resp.StatusCode, bytes.TrimSpace(data))
	case out == nil:
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errkind.Wrap(errkind.BackendFailed, err, "decode answer of ranks")
	}
	return nil
}
