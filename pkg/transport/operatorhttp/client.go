package operatorhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/timeline"
)

type authorContextKey struct{}

func withAuthor(ctx context.Context, author string) context.Context {
	return context.WithValue(ctx, authorContextKey{}, author)
}

func authorFrom(ctx context.Context) string {
	author, _ := ctx.Value(authorContextKey{}).(string)
	return author
}

// Client calls the operator interface of one entry VM.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client for an address such as "127.0.0.1:7301" or a URL.
func NewClient(address, token string, h *http.Client) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &Client{base: strings.TrimSuffix(address, "/"), token: token, http: h}
}

// Tree returns the settings in force.
func (c *Client) Tree(ctx context.Context) (TreeReply, error) {
	return call[TreeReply](ctx, c, http.MethodGet, "/v1/tree", nil)
}

// GatewayStatus returns the status of a hickoryfront. The address of the client
// must be the metrics address of the hickoryfront.
func (c *Client) GatewayStatus(ctx context.Context) (protocol.FrontStatus, error) {
	return call[protocol.FrontStatus](ctx, c, http.MethodGet, "/status", nil)
}

// Explain returns the settings in force at path.
func (c *Client) Explain(ctx context.Context, path string) (ExplainReply, error) {
	return call[ExplainReply](ctx, c, http.MethodGet, "/v1/explain?path="+url.QueryEscape(path), nil)
}

// Edit applies a change. It can be repeated safely with the same request id.
func (c *Client) Edit(ctx context.Context, e EditRequest) (EditReply, error) {
	return call[EditReply](ctx, c, http.MethodPost, "/v1/edits", e)
}

// Validate checks a tree without applying it.
func (c *Client) Validate(ctx context.Context, tree string) (ValidateReply, error) {
	return call[ValidateReply](ctx, c, http.MethodPost, "/v1/validate", ValidateRequest{Tree: tree})
}

// History returns the last accepted changes.
func (c *Client) History(ctx context.Context) ([]Change, error) {
	return call[[]Change](ctx, c, http.MethodGet, "/v1/history", nil)
}

// RevisionText returns the tree of an earlier revision.
func (c *Client) RevisionText(ctx context.Context, revision int64) (string, error) {
	reply, err := call[ValidateRequest](ctx, c, http.MethodGet, fmt.Sprintf("/v1/history/%d", revision), nil)
	return reply.Tree, err
}

// Status returns the status of the system as known to the VM.
func (c *Client) Status(ctx context.Context) (StatusReply, error) {
	return call[StatusReply](ctx, c, http.MethodGet, "/v1/status", nil)
}

// Timeline returns the recent events recorded by the VM.
func (c *Client) Timeline(ctx context.Context) ([]timeline.Event, error) {
	return call[[]timeline.Event](ctx, c, http.MethodGet, "/v1/timeline", nil)
}

func call[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var reply T
	var payload io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return reply, errors.Wrap(err, "encode request")
		}
		payload = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, payload)
	if err != nil {
		return reply, errors.Wrap(err, "build the request; check the address of the entry VM")
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply, errors.Wrap(err, "call the entry VM; check --address or try another VM")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return reply, readProblem(resp)
	}
	text, err := io.ReadAll(resp.Body) // a document before the end may stand in a cut response
	if err != nil {
		return reply, errors.Wrap(err, "read the response of the entry VM; whether a change was accepted is unknown")
	}
	if err := json.Unmarshal(text, &reply); err != nil {
		return reply, errors.Wrap(err, "decode the response of the entry VM")
	}
	return reply, nil
}

func readProblem(resp *http.Response) error {
	var p protocol.Problem
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(&p); err != nil || p.Code == "" {
		return errors.Errorf("the entry VM returned status %s without a problem document; check that --address is its operator address", resp.Status)
	}
	return &p
}
