package traffic

import (
	"net/http"

	"github.com/crocushinge/crocushinge/target"
)

// noticeHeaders are the names of the response headers in which targets say something about
// themselves. An empty name stands for none.
type noticeHeaders struct {
	// leaving is set to anything but "0" by a target that is leaving.
	leaving string
}

// read returns the notice in a response.
func (names noticeHeaders) read(resp *http.Response) (n target.Notice) {
	if names.leaving != "" {
		value := resp.Header.Get(names.leaving)
		n.Leaving = value != "" && value != "0"
	}
	return n
}
