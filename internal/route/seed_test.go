package route

import _ "github.com/jujubeshed/jujubeshed/internal/testseed" // makes the random cases repeatable
