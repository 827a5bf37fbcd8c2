package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// withoutRows returns a configuration whose Routes have Columns but no Rows.
func withoutRows(text []byte) []byte {
	var doc map[string]any
	if err := json.Unmarshal(text, &doc); err != nil {
		return nil
	}
	delete(doc["Routes"].(map[string]any), "Rows")
	data, _ := json.Marshal(doc)
	return data
}

// unreadableConfig: the operator sends two configurations that cannot be read in full. Without trouble they are whole.
func unreadableConfig(ctx context.Context, rec *record, trouble bool) (bool, error) {
	d, err := startDesk(ctx, rec)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	services := []string{deskService}
	more := append([]route{{"r-buch", "b\u00fcch.example", "/look/", "idempotent", 2, deskService, 2}}, deskRoutes...)
	first, second := configuration("r3", services, more), configuration("r8", services, deskRoutes)
	if trouble {
		// One byte of ISO 8859-1, which is no character in UTF-8 and hence in JSON.
		first = bytes.ReplaceAll(first, []byte("\u00fc"), []byte{0xfc})
		second = withoutRows(second)
	}
	base, broken := "r1", false
	for _, c := range []struct {
		version, what string
		text          []byte
	}{{"r3", "with a byte that is not UTF-8", first}, {"r8", "whose Routes have no Rows", second}} {
		status, body := post("http://"+d.core[0].addr(controlPort)+"/api/Config.Replace", c.text, "Base-Version", base)
		rec.add("operator: Config.Replace on %s: %d %q; sent: %q", base, status, body, c.text)
		switch {
		case status == http.StatusOK && trouble:
			rec.say("a configuration %s was acknowledged as %s", c.what, c.version)
			broken, base = true, c.version
		case status == http.StatusOK:
			base = c.version
		case !trouble || status == 0 || status >= 500:
			return false, fmt.Errorf("configuration %s: status %d", c.version, status)
		}
	}
	from := rec.now() + applyTime
	if err := sleep(ctx, applyTime+3*time.Second); err != nil {
		return false, err
	}
	served, sent := d.requesters.share(from, rec.now()-time.Second)
	rec.say("from %.1f s after that, %d of %d requests on the route of all whole configurations were served", applyTime.Seconds(), served, sent)
	if !trouble && served < sent*9/10 {
		return false, fmt.Errorf("only %d of %d requests served without trouble", served, sent)
	}
	return broken, nil
}
