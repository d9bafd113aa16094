package scenarios

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"github.com/filbertmux/filbertmux/base/infra"
)

// Guards against a change set that is applied twice, or changes from accepted to
// refused, when a late copy of its record is appended, and against an office that
// changes a row of another office.
func TestTableRecords(t *testing.T) { runScript(t, "table-records") }

func init() {
	commands["append-again"] = command(1, (*scriptCommand).appendAgain)
}

// appendAgain appends a copy of a table record, as happens if a publisher repeats
// an append whose first attempt is delayed.
func (r *scriptCommand) appendAgain(args []string) error {
	p, err := r.process("platform")
	if err != nil {
		return err
	}
	offset, err := strconv.ParseUint(r.Getenv(args[0]), 10, 64)
	if err != nil {
		return err
	}
	stream := "http://" + p.address + infra.StreamPath + "table"
	_, body, err := r.get(fmt.Sprintf("%s?after=%d&limit=1", stream, offset-1))
	if err != nil {
		return err
	}
	var batch infra.Batch
	if err := json.Unmarshal([]byte(body), &batch); err != nil {
		return err
	}
	if len(batch.Records) == 0 {
		return fmt.Errorf("the log has no record %d: %s", offset, body)
	}
	return r.expect2xx(http.MethodPost, stream, string(batch.Records[0].Data))
}
