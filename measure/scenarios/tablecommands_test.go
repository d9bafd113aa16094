package scenarios

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/examples"
)

func (r *scriptCommand) example(args []string) error {
	return os.CopyFS(r.MkAbs(args[0]), examples.Demo())
}

func (r *scriptCommand) accepted(args []string) error {
	m := acceptedLine.FindStringSubmatch(r.ReadFile(args[0]))
	if m == nil {
		return fmt.Errorf("%s shows no accepted change set", args[0])
	}
	offset, err := strconv.ParseUint(m[1], 10, 64)
	if err != nil {
		return err
	}
	appended, err := r.appendTime(offset)
	if err != nil {
		return err
	}
	r.Setenv(args[1], m[1])
	r.Setenv(args[1]+"_time", strconv.FormatInt(appended.UnixMilli(), 10))
	return nil
}

// appendTime returns the timestamp of a table record in the log.
func (r *scriptCommand) appendTime(offset uint64) (time.Time, error) {
	p, err := r.process("platform")
	if err != nil {
		return time.Time{}, err
	}
	_, body, err := r.get(fmt.Sprintf("http://%s%stable?after=%d&limit=1", p.address, infra.StreamPath, offset-1))
	if err != nil {
		return time.Time{}, err
	}
	var batch infra.Batch
	if err := json.Unmarshal([]byte(body), &batch); err != nil {
		return time.Time{}, err
	}
	if len(batch.Records) == 0 {
		return time.Time{}, fmt.Errorf("the log has no record %d: %s", offset, body)
	}
	return batch.Records[0].Time, nil
}

func (r *scriptCommand) inForce(args []string) error {
	offset, err := strconv.ParseUint(r.Getenv(args[0]), 10, 64)
	if err != nil {
		return err
	}
	since, err := strconv.ParseInt(r.Getenv(args[0]+"_time"), 10, 64)
	if err != nil {
		return err
	}
	for _, name := range args[1:] {
		p, err := r.process(name)
		if err != nil {
			return err
		}
		err = poll(func() error {
			got, err := r.tableOffset(p)
			if err == nil && got < offset {
				err = fmt.Errorf("%s is at table offset %d, want %d", name, got, offset)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	took := time.Since(time.UnixMilli(since))
	r.t.Logf("table offset %d in force on %s after %s", offset, strings.Join(args[1:], " "), took.Round(time.Millisecond))
	if took > propagationBound {
		return fmt.Errorf("in force after %s, want %s", took, propagationBound)
	}
	return nil
}

// atOffset checks that the processes already report at least the offset.
func (r *scriptCommand) atOffset(args []string) error {
	offset, err := strconv.ParseUint(r.Getenv(args[0]), 10, 64)
	if err != nil {
		return err
	}
	for _, name := range args[1:] {
		p, err := r.process(name)
		if err != nil {
			return err
		}
		got, err := r.tableOffset(p)
		if err != nil {
			return err
		}
		if got < offset {
			return fmt.Errorf("%s is at table offset %d, want %d", name, got, offset)
		}
	}
	return nil
}

// race publishes two directories concurrently and writes the exit codes and
// outputs of both commands to a file.
func (r *scriptCommand) race(args []string) error {
	program, err := exec.LookPath("filbertmux")
	if err != nil {
		return err
	}
	var outputs [2]string
	var wait sync.WaitGroup
	for n, dir := range args[1:3] {
		wait.Go(func() {
			cmd := exec.Command(program, append([]string{"table", "publish", dir}, args[3:]...)...)
			cmd.Dir = r.dir
			cmd.Env = append(os.Environ(), "GORACE="+raceDetectorOptions)
			out, _ := cmd.CombinedOutput() // the exit code is written
			outputs[n] = fmt.Sprintf("code %d\n%s", cmd.ProcessState.ExitCode(), out)
		})
	}
	wait.Wait()
	return os.WriteFile(r.MkAbs(args[0]), []byte(outputs[0]+outputs[1]), 0o600)
}
