// Package abuse contains tests of processes whose clients exceed the limits, hold requests open or
// read no responses. Run them apart from other load: see .ci/test.
package abuse
