package caller

import (
	"context"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/answer"
	"alderdyke/pkg/client"
)

// If the client's connection to one VM breaks in the middle of an answer, the client
// continues at the other VM.
func TestClientResumesThroughTwoServers(t *testing.T) {
	one := serve(t, nil)
	two := serve(t, func(rg *rig) {
		rg.rn = one.rn
		rg.Runner = one.rn
	})
	vms := []string{one.Addr().String(), two.Addr().String()}
	one.rn.mu.Lock()
	one.rn.list = []Address{{Address: vms[0], FailureDomain: "a"}, {Address: vms[1], FailureDomain: "b"}}
	one.rn.begin = func(_ Request, st *answer.Stream) error { return st.Token([]byte("half ")) }
	one.rn.mu.Unlock()

	var conn net.Conn // the latest that the client opened
	transport := &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		cn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		conn = cn
		return cn, err
	}, DisableKeepAlives: true}
	cl := &client.Client{Bootstrap: vms[:1], APIKey: testKey, HTTP: &http.Client{Transport: transport}}
	broken := false
	ans, err := cl.Chat(t.Context(), client.ChatRequest{
		Model: "rapportmodel", Messages: []client.Message{{Role: "user", Content: "weld 7"}},
		OnText: func(string) {
			if broken {
				return
			}
			broken = true
			_ = conn.Close()
			one.rn.mu.Lock()
			defer one.rn.mu.Unlock()
			for _, st := range one.rn.streams {
				_ = st.Token([]byte("whole"))
				_ = st.End(nil)
			}
		},
	})
	assert.NilError(t, err)
	assert.Equal(t, ans.Text, "half whole")
	assert.Equal(t, len(one.rn.streams), 1, "one key, one run")
	reqs := one.rn.started
	assert.Equal(t, len(reqs), 2)
	assert.Equal(t, reqs[len(reqs)-1].Key, ans.Key)
	assert.DeepEqual(t, reqs[0].Fingerprint, reqs[len(reqs)-1].Fingerprint)
}
