package load

import (
	"bufio"
	"io"
	"strings"
)

// event is one server-sent event.
type event struct {
	id   string
	name string
	data string
}

// eventReader reads server-sent events.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReader(r)}
}

// next returns the next event with data. An event without its closing blank line
// is truncated and is not returned.
func (er *eventReader) next() (event, error) {
	var e event
	for {
		line, err := er.r.ReadString('\n')
		if err != nil {
			return event{}, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			if e.data != "" {
				return e, nil
			}
			e = event{}
			continue
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "id":
			e.id = value
		case "event":
			e.name = value
		case "data":
			if e.data != "" {
				e.data += "\n"
			}
			e.data += value
		}
	}
}
