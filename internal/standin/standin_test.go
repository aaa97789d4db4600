package standin_test

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/memnet"
	"medlarwind.dev/medlarwind/internal/platform"
	"medlarwind.dev/medlarwind/internal/standin"
	"medlarwind.dev/medlarwind/internal/target"
)

func TestEngineAnswersWithinBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		l, _ := n.Listen("10.0.0.9:80")
		e := standin.NewEngine(standin.EngineOptions{})
		defer standin.Serve(l, e)()
		defer e.Close()
		c := target.NewClient(n.Host("10.0.0.1").Dial, target.Options{})
		defer c.Close()
		s, err := c.Generate(context.Background(), "10.0.0.9:80", target.GenerateRequest{RequestID: "r", Prompt: "p", MaxTokens: 10})
		if err != nil {
			t.Fatal(err)
		}
		var got []byte
		for {
			chunk, err := s.Next()
			if err == io.EOF {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, chunk.Data...)
		}
		if !bytes.Equal(got, standin.Answer("p", 10)) {
			t.Errorf("answer %x", got)
		}
		r, err := c.Load(context.Background(), "10.0.0.9:80")
		if err != nil || r.Completed != 1 || n.Dials("10.0.0.1", "10.0.0.9") != 1 {
			t.Errorf("load %+v, %v", r, err)
		}
	})
}

func TestPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		l, _ := n.Listen("10.0.0.9:80")
		p := standin.NewPlatform(standin.PlatformOptions{})
		defer standin.Serve(l, p)()
		c := platform.NewClient("10.0.0.9:80", n.Host("10.0.0.1").Dial)
		defer c.Close()
		p.SetConfig(3, []byte("x"))
		p.SetList(fleet.List{Version: 1}, time.Second)
		version, text, err := c.Config(context.Background(), 0)
		if version != 3 || string(text) != "x" || err != nil {
			t.Errorf("Config = %d, %q, %v", version, text, err)
		}
		version, text, err = c.Config(context.Background(), 3)
		if version != 3 || text != nil || err != nil {
			t.Errorf("Config without change = %d, %q, %v", version, text, err)
		}
		list, err := c.List(context.Background())
		if list.Version != 1 || err != nil {
			t.Errorf("List = %+v, %v", list, err)
		}
	})
}
