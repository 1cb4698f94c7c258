package rendezvous

import _ "github.com/jujubeshed/jujubeshed/internal/testseed" // sets the seed of property tests
