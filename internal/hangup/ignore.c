#include <signal.h>
#include <string.h>

#ifdef __GLIBC__ // which passes the arguments of the process to constructors

// ignore_hangup ignores SIGHUP if the arguments name Command, from before the Go runtime starts
// until the package asks for the signal. The runtime leaves SIGHUP ignored if it finds it so.
__attribute__((constructor)) static void ignore_hangup(int argc, char **argv) {
	for (int i = 1; i < argc; i++) {
		if (strcmp(argv[i], "serve") == 0) {
			signal(SIGHUP, SIG_IGN);
			return;
		}
	}
}

#endif
