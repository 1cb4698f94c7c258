package memstore

import _ "github.com/jujubeshed/jujubeshed/internal/testseed" // makes the generated cases reproducible
