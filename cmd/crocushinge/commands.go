package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/crocushinge/crocushinge/contract/contractfile"
	"github.com/crocushinge/crocushinge/finding"
	"github.com/crocushinge/crocushinge/publish"
	"github.com/crocushinge/crocushinge/timeline"
	"github.com/crocushinge/crocushinge/wire"
)

// collected is one contract found below a directory.
type collected struct {
	service  string
	document []byte
}

// collect reads all contracts below a directory and gathers their findings.
func collect(dir string) ([]collected, error) {
	var out []collected
	var findings finding.List
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".yaml" {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		f, faults := contractfile.Parse(path, data)
		findings = append(findings, faults...)
		if f != nil {
			out = append(out, collected{service: f.Document.Subject(), document: data})
		}
		return nil
	})
	if err != nil {
		return nil, errors.Wrapf(err, "collect contracts below %s", dir)
	}
	return out, findings.Err()
}

func check(_ context.Context, cmd *cli.Command) error {
	list, err := collect(cmd.Args().First())
	if err != nil {
		return err
	}
	fmt.Printf("%d contracts, no findings\n", len(list))
	return nil
}

func publishAll(ctx context.Context, cmd *cli.Command) error {
	list, err := collect(cmd.Args().First())
	if err != nil {
		return err
	}
	for _, c := range list {
		var now wire.Contract
		if err := call(ctx, cmd, http.MethodGet, "/v1/contracts/"+c.service, nil, &now); err != nil && !errors.Is(err, errNotFound) {
			return err
		}
		q := url.Values{
			"base":     {strconv.FormatUint(now.Version, 10)},
			"proposal": {uuid.NewString()},
			"operator": {os.Getenv("USER")},
		}
		var result publish.Result
		if err := call(ctx, cmd, http.MethodPut, "/v1/contracts/"+c.service+"?"+q.Encode(), c.document, &result); err != nil {
			return err
		}
		fmt.Printf("%s: %s, version %d, revision %d %s\n", c.service, result.Status, result.Version, result.Revision, result.Reason)
	}
	return nil
}

func printTimeline(ctx context.Context, cmd *cli.Command) error {
	var events []timeline.Event
	if err := call(ctx, cmd, http.MethodGet, "/v1/timeline", nil, &events); err != nil {
		return err
	}
	for _, e := range events {
		fmt.Printf("%s %s %s %s/%s %s->%s %s\n", e.Stamp.Time().Format("15:04:05.000"), e.Host, e.Kind, e.Service, e.Target, e.From, e.To, e.Reason)
	}
	return nil
}

var errNotFound = errors.New("not found")

// call asks a host's API and decodes its answer.
func call(ctx context.Context, cmd *cli.Command, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+cmd.String("api")+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+cmd.String("token"))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "ask the host")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read the host's answer")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		var failure wire.Failure
		_ = json.Unmarshal(data, &failure)
		if resp.StatusCode == http.StatusNotFound {
			return errors.Wrap(errNotFound, failure.Error)
		}
		return errors.Errorf("%s: %s", resp.Status, failure.Error)
	}
	return errors.Wrap(json.Unmarshal(data, out), "decode the host's answer")
}
