package answer

import _ "github.com/jujubeshed/jujubeshed/internal/testseed" // fixes the seed of rapid's generated cases
