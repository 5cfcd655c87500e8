package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Load of the case "takeup".
const (
	takeupUpstreams = 6 // half of them of each version
	takeupStreams   = 20
	takeupEvents    = 90
	takeupPause     = 150 * time.Millisecond // between events
	takeupKill      = time.Second            // from the beginning of the streams
	takeupCalm      = 6 * time.Second        // from the kill until clients lose their connections: all are back within 1 s, and contactMs is 3 s
	takeupDeadline  = 20 * time.Second
)

// playTakeup kills the processes of all VMs with a disk at the same moment, while streams of two versions run through the entry VMs. When the fleet is
// calm again, the clients lose their connections and take their streams up at the other entry VM.
func playTakeup(f *fleet, trouble bool) (bool, error) {
	for i := 1; i <= takeupUpstreams; i++ {
		if err := newUpstream(f, i, respondTakeup).start("v" + strconv.Itoa(1+i%2)); err != nil {
			return false, err
		}
	}
	if err := f.configure(plan(streamsRoute())); err != nil {
		return false, err
	}
	began := time.Now()
	first := f.openStreams("stream", 0, nil)
	if trouble {
		time.Sleep(time.Until(began.Add(takeupKill)))
		if err := f.killAllWithDisk(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(began.Add(takeupKill + takeupCalm)))
	running := 0
	for _, s := range first {
		if s.close() > 0 {
			running++
		}
	}
	second := f.openStreams("again", 1, first)
	fresh := f.openStreams("new", 1, nil)
	time.Sleep(time.Second)
	took, begun := 0, 0
	for i := range second {
		if second[i].close() > 0 {
			took++
		}
		if fresh[i].close() > 0 {
			begun++
		}
		f.log.printf("%s after event %d: status %d, %d events; %s: status %d, %d events", second[i].id, first[i].events, second[i].status, second[i].events,
			fresh[i].id, fresh[i].status, fresh[i].events)
	}
	f.log.printf("of %d streams that ran, %d went on when they were taken up; of %d new ones %d began", running, took, takeupStreams, begun)
	if running < takeupStreams || begun < takeupStreams/2 {
		return false, fmt.Errorf("%d streams ran and %d new ones began", running, begun)
	}
	return 2*took*takeupStreams >= running*begun, nil
}

func respondTakeup(u *upstream, c net.Conn, r *http.Request) {
	v := u.version()
	u.stream(c, r, 0, takeupEvents, takeupPause, func(i int) string { return v + " " + strconv.Itoa(i) })
}

// killAllWithDisk kills the processes of all control and batch VMs.
func (f *fleet) killAllWithDisk() error {
	var l []int
	for _, c := range []struct {
		class string
		count int
	}{{"control", controls}, {"batch", batches}} {
		for i := 1; i <= c.count; i++ {
			p, err := f.awaitProcess(c.class + "-" + strconv.Itoa(i))
			if err != nil {
				return err
			}
			l = append(l, p)
		}
	}
	for _, p := range l {
		if err := syscall.Kill(p, syscall.SIGKILL); err != nil {
			return os.NewSyscallError("kill", err)
		}
	}
	f.log.printf("the processes of all control and batch VMs are killed")
	return nil
}

// openStream is a stream that a client reads; close ends its connection.
type openStream struct {
	id     string
	cancel context.CancelFunc
	done   chan struct{}

	mu     sync.Mutex
	status int
	events int // read so far
}

// openStreams begins a stream for each client at the entry VM that is shift after its own, or takes up an earlier one there.
func (f *fleet) openStreams(name string, shift int, earlier []*openStream) []*openStream {
	var l []*openStream
	for i := range takeupStreams {
		header := map[string]string{}
		if earlier != nil {
			header["Last-Event-Id"], header["Resumes"] = strconv.Itoa(earlier[i].events), earlier[i].id
		}
		l = append(l, f.openStream(i+shift, name+"-"+strconv.Itoa(i), header))
	}
	return l
}

func (f *fleet) openStream(entry int, id string, header map[string]string) *openStream {
	ctx, cancel := context.WithTimeout(context.Background(), takeupDeadline)
	s := &openStream{id: id, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.entry(entry)+"/streams/x", strings.NewReader("question"))
		if err != nil {
			return
		}
		r.Host = "engines.example"
		for k, v := range header {
			r.Header.Set(k, v)
		}
		r.Header.Set("X-Api-Key", "key")
		r.Header.Set("X-Snipetack-Request-Id", id)
		r.Header.Set("X-Snipetack-Deadline-Ms", strconv.FormatInt(takeupDeadline.Milliseconds(), 10))
		a, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(r)
		if err != nil {
			return
		}
		defer a.Body.Close()
		s.set(a.StatusCode, 0)
		if a.StatusCode != http.StatusOK {
			return
		}
		for lines := bufio.NewScanner(a.Body); lines.Scan(); {
			if strings.HasPrefix(lines.Text(), "data:") {
				s.set(a.StatusCode, 1)
			}
		}
	}()
	return s
}

func (s *openStream) set(status, events int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
	s.events += events
}

// close ends the client's connection and returns how many events it has read.
func (s *openStream) close() int {
	s.cancel()
	<-s.done
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events
}
