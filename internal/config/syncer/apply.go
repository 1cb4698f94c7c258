package syncer

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// Errors of Apply and Remove.
var (
	// ErrRefused means that the files have errors and nothing was written.
	ErrRefused = errors.New("the files were refused; nothing was changed")
	// ErrChangedMeanwhile means that somebody else wrote the same file concurrently;
	// their version was kept.
	ErrChangedMeanwhile = errors.New("somebody else changed the file at the same time; review their version and apply again")
	// ErrPending means that the files are in the store but not accepted yet. A
	// watching node will accept them.
	ErrPending = errors.New("the files are stored but not accepted yet; a watching node will accept them")
)

// ApplyResult is the result of Apply and Remove.
type ApplyResult struct {
	// Status is the status of all files in the store. If the files were refused, it is
	// the status that they would have had.
	Status config.Status
	// Written lists the files that were written or removed, Replaced those that
	// existed before and were overwritten.
	Written  []string
	Replaced []string
}

// Apply stores an operator's files and accepts them. Other files in the store stay. If
// one of the files would be refused, nothing is written, and ErrRefused is returned with
// the reasons in the result.
func (s *Syncer) Apply(ctx context.Context, files []config.File) (ApplyResult, error) {
	for _, f := range files {
		if !config.ValidFileName(f.Name) {
			return ApplyResult{}, errors.Wrapf(ErrRefused, "file name %q is not allowed; allowed are %s", f.Name, config.FileNameAllowed)
		}
	}
	var base map[string]platformapi.Object
	var result ApplyResult
	err := s.retry(ctx, func() error {
		var err error
		base, result.Status, err = s.preview(ctx, files)
		return err
	})
	if err != nil {
		return result, errors.Wrap(err, "read the files in the store")
	}
	if anyRefused(result.Status, files) {
		return result, ErrRefused
	}
	for _, f := range files {
		if err := s.storeFile(ctx, f, base[f.Name], &result); err != nil {
			return result, errors.Wrapf(err, "store file %q", f.Name)
		}
	}
	result, err = s.acceptAll(ctx, result)
	if err == nil && !statusCovers(result.Status, files) {
		err = ErrChangedMeanwhile
	}
	return result, err
}

// statusCovers reports whether a status was computed from these contents, and not from
// others that overwrote them.
func statusCovers(status config.Status, files []config.File) bool {
	for _, f := range files {
		if st, ok := status.File(f.Name); !ok || st.Digest != f.Digest() {
			return false
		}
	}
	return true
}

// Remove deletes files from the store and accepts the remaining ones.
func (s *Syncer) Remove(ctx context.Context, names []string) (ApplyResult, error) {
	var result ApplyResult
	for _, name := range names {
		err := s.retry(ctx, func() error {
			object, err := s.get(ctx, config.FileKey(name))
			if err != nil || object.Version == 0 {
				return err
			}
			return s.opts.Store.Delete(ctx, object.Key, object.Version)
		})
		if err != nil {
			return result, errors.Wrapf(err, "remove file %q", name)
		}
		result.Written = append(result.Written, name)
	}
	return s.acceptAll(ctx, result)
}

// Status reads the status of the files from the store.
func (s *Syncer) Status(ctx context.Context) (config.Status, error) {
	object, err := s.get(ctx, config.KeyStatus)
	if err != nil {
		return config.Status{}, err
	}
	return config.DecodeStatus(object.Value)
}

func (s *Syncer) acceptAll(ctx context.Context, result ApplyResult) (ApplyResult, error) {
	_, status, err := s.Accept(ctx)
	if err != nil {
		return result, errors.CombineErrors(ErrPending, err)
	}
	result.Status = status
	return result, nil
}

// preview returns the stored files by name, and the status that would result from
// storing files.
func (s *Syncer) preview(ctx context.Context, files []config.File) (map[string]platformapi.Object, config.Status, error) {
	accepted, err := s.get(ctx, config.KeyAccepted)
	if err != nil {
		return nil, config.Status{}, err
	}
	prev, err := config.DecodeAccepted(accepted.Value)
	if err != nil {
		return nil, config.Status{}, err
	}
	objects, err := s.list(ctx, config.KeyFilesPrefix)
	if err != nil {
		return nil, config.Status{}, err
	}
	base := make(map[string]platformapi.Object, len(objects))
	all := make(map[string]config.File, len(objects)+len(files))
	for _, o := range objects {
		base[fileName(o.Key)] = o
		all[fileName(o.Key)] = config.File{Name: fileName(o.Key), Data: o.Value}
	}
	for _, f := range files {
		all[f.Name] = f
	}
	merged := make([]config.File, 0, len(all))
	for _, f := range all {
		merged = append(merged, f)
	}
	return base, config.Propose(prev, merged, s.Revision()).Status, nil
}

func anyRefused(status config.Status, files []config.File) bool {
	for _, f := range files {
		if st, ok := status.File(f.Name); ok && st.State != config.FileAccepted {
			return true
		}
	}
	return false
}

// storeFile writes a file, on condition that its version is still the one that preview read.
func (s *Syncer) storeFile(ctx context.Context, f config.File, base platformapi.Object, result *ApplyResult) error {
	if base.Version != 0 && bytes.Equal(base.Value, f.Data) {
		return nil
	}
	key := config.FileKey(f.Name)
	err := s.retry(ctx, func() error {
		callCtx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
		defer cancel()
		_, err := s.opts.Store.Put(callCtx, key, f.Data, base.Version)
		if !errors.Is(err, platformapi.ErrConflict) && !errors.Is(err, platformapi.ErrUnknown) {
			return err
		}
		return s.resolvePut(ctx, f, base, err)
	})
	if err != nil {
		return err
	}
	result.Written = append(result.Written, f.Name)
	if base.Version != 0 {
		result.Replaced = append(result.Replaced, f.Name)
	}
	return nil
}

// resolvePut determines the outcome of a put that failed with a conflict or an unknown
// outcome.
func (s *Syncer) resolvePut(ctx context.Context, f config.File, base platformapi.Object, cause error) error {
	object, err := s.get(ctx, config.FileKey(f.Name))
	switch {
	case err != nil:
		return err
	case object.Version != 0 && bytes.Equal(object.Value, f.Data):
		return nil
	case object.Version == base.Version:
		return cause // the put had no effect and can be retried safely
	default:
		return ErrChangedMeanwhile
	}
}

// retry calls f until it succeeds, fails permanently, or ctx ends.
func (s *Syncer) retry(ctx context.Context, f func() error) error {
	backoff := minBackoff / 4
	for {
		err := f()
		if err == nil || !isTransient(err) {
			return err
		}
		if sleep(ctx, backoff/2+s.jitter(backoff/2)) != nil {
			return errors.CombineErrors(err, ctx.Err())
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func isTransient(err error) bool {
	return errors.IsAny(err, platformapi.ErrUnavailable, platformapi.ErrThrottled, platformapi.ErrUnknown, platformapi.ErrConflict)
}

// Accept runs one acceptance round to its end and puts its result in force.
func (s *Syncer) Accept(ctx context.Context) (config.Accepted, config.Status, error) {
	s.opts.Metrics.rounds.Inc()
	s.mu.Lock()
	rng := rand.New(rand.NewPCG(s.mu.rng.Uint64(), 2))
	known := s.mu.holder.Revision()
	s.mu.Unlock()
	round := config.NewAcceptor(known, rng)
	action := round.Start()
	for {
		switch a := action.(type) {
		case config.ReadAction:
			action = round.Read(s.read(ctx))
		case config.PutAction:
			action = round.Put(s.putObject(ctx, a))
		case config.WaitAction:
			s.opts.Metrics.retries.Inc()
			if sleep(ctx, a.Delay) != nil {
				return config.Accepted{}, config.Status{}, errors.CombineErrors(a.Cause, ctx.Err())
			}
			action = round.Waited()
		case config.DoneAction:
			if a.Err != nil {
				return config.Accepted{}, config.Status{}, a.Err
			}
			s.activate(a.Accepted.Config, time.Time{}) // the zero time confirms nothing, as another round may have accepted a later revision
			return a.Accepted, a.Status, nil
		}
	}
}

func (s *Syncer) putObject(ctx context.Context, a config.PutAction) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	_, err := s.opts.Store.Put(ctx, a.Key, a.Value, a.Expect)
	return err
}

// read performs a ReadAction, in the order that it requires.
func (s *Syncer) read(ctx context.Context) config.ReadResult {
	var r config.ReadResult
	if r.Accepted, r.Err = s.get(ctx, config.KeyAccepted); r.Err != nil {
		return r
	}
	if r.Status, r.Err = s.get(ctx, config.KeyStatus); r.Err != nil {
		return r
	}
	var objects []platformapi.Object
	if objects, r.Err = s.list(ctx, config.KeyFilesPrefix); r.Err != nil {
		return r
	}
	for _, o := range objects {
		r.Files = append(r.Files, config.File{Name: fileName(o.Key), Data: o.Value})
	}
	return r
}
