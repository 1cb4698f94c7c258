package peer_test

import _ "github.com/jujubeshed/jujubeshed/internal/testseed" // fixes the seed of rapid's random cases
