package admit

import _ "github.com/jujubeshed/jujubeshed/internal/testseed" // makes the generated test cases reproducible
