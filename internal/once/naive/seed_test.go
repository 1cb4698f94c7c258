package naive_test

import _ "github.com/jujubeshed/jujubeshed/internal/testseed" // fixes the seed of the random cases
