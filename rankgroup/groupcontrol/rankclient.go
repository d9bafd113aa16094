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

// maxResponseBytes bounds a response of the backend server. A report with 58
// layers of 256 experts and 32 ranks has about 250 KB.
const maxResponseBytes = 16 << 20

// rankClient is a client of the rank API of the backend server. It is safe for
// concurrent use.
type rankClient struct {
	baseURL string
	client  *http.Client
}

func newRankClient(baseURL string, client *http.Client) (*rankClient, error) {
	u, err := url.Parse(baseURL)
	if err != nil || u.Host == "" {
		return nil, errkind.New(errkind.InvalidSettings, "rank URL %q: want http://host:port", baseURL)
	}
	return &rankClient{baseURL: baseURL, client: client}, nil
}

func (c *rankClient) readState(ctx context.Context) (rankapi.Response, error) {
	var resp rankapi.Response
	return resp, c.do(ctx, http.MethodGet, rankapi.RanksPath, nil, &resp)
}

func (c *rankClient) readReport(ctx context.Context) (rankapi.Report, error) {
	var report rankapi.Report
	return report, c.do(ctx, http.MethodGet, rankapi.ReportPath, nil, &report)
}

func (c *rankClient) sendBatch(ctx context.Context, batch rankapi.Batch) (rankapi.Response, error) {
	body, err := json.Marshal(batch)
	if err != nil {
		return rankapi.Response{}, errors.Wrap(err, "encode rank commands")
	}
	var resp rankapi.Response
	return resp, c.do(ctx, http.MethodPost, rankapi.RanksPath, body, &resp)
}

func (c *rankClient) putWeights(ctx context.Context, w rankapi.WeightsID, data []byte) error {
	path := rankapi.RanksPath + "/" + strconv.Itoa(int(w.Rank)) +
		"/weights/" + strconv.Itoa(w.Layer) + "/" + strconv.Itoa(int(w.Expert))
	return c.do(ctx, http.MethodPut, path, data, nil)
}

func (c *rankClient) do(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request to the rank API")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return errkind.Wrap(errkind.BackendUnavailable, err, "call the rank API")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errkind.Wrap(errkind.BackendUnavailable, err, "read the response of the rank API")
	}
	switch {
	case resp.StatusCode == errkind.StaleFencingToken.Attributes().HTTPStatus:
		return errkind.New(errkind.StaleFencingToken, "rank API refused the request as stale: %s", bytes.TrimSpace(data))
	case resp.StatusCode != http.StatusOK:
		return errkind.New(errkind.BackendFailed, "rank API returned status %d: %s", resp.StatusCode, bytes.TrimSpace(data))
	case out == nil:
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errkind.Wrap(errkind.BackendFailed, err, "decode the response of the rank API")
	}
	return nil
}
