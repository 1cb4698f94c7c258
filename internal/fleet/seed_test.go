package fleet

import _ "github.com/jujubeshed/jujubeshed/internal/testseed" // fixes the seed of the generated cases
