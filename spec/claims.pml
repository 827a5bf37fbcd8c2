/*
 * Claims: at most one run per idempotency key, and refusals as not run.
 *
 * Covers R6 (a call runs at most once) and R5 (a call refused as not run never ran),
 * and the rule that a released attempt is not granted again, so that its key stays free.
 *
 * Abstracted away:
 * - The registrar is replicated; here it is one process that keeps its state. repair.pml covers the log.
 * - There is one key, since claims of different keys do not affect each other. Expiry of keys is left out.
 * - A resend by the caller, a retry by the egress side and a second daemon are all another attempt with the same key.
 *   All attempts may run at the same time.
 * - A message that was sent may arrive at any time, in any order, again or never.
 * - Requests to the upstream do not arrive twice, but may arrive after the daemon is gone.
 *
 * Switches, each of which removes a rule so that an assertion must fail:
 * NOCLAIM     an attempt is sent to the upstream before it is granted
 * LATEGRANT   an attempt that was refused as not run is sent when its grant arrives late
 * RELEASESENT an attempt that was sent is released when its outcome is unknown
 * FREEDEAD    the registrar frees the key of a daemon that died
 * LASTRELEASE the registrar remembers only the last released attempt of a key
 * RESEND      the HTTP transport sends the request again after the connection broke
 * REACH       removes no rule: a call must run and finish after a crash and a release, or the model proves nothing
 */

#define ATTEMPTS 3
#define NOBODY 9

mtype = { FREE, RUNNING, DONE };                                  /* state of the key */
mtype = { NEW, ASKED, HOLDS, SENT, REFUSED, ANSWERED, UNKNOWN };  /* state of an attempt */

mtype key = FREE;
byte holder = NOBODY;      /* attempt that was granted the key */
bool gone[ATTEMPTS];       /* the registrar handled a release of the attempt */
byte last = NOBODY;        /* last released attempt */

mtype attempt[ATTEMPTS] = NEW;
bool dead[ATTEMPTS];       /* the daemon of the attempt crashed */
byte runs = 0;             /* runs at the upstream */
bool ran[ATTEMPTS];

/* Messages that were sent. */
bool claim[ATTEMPTS], release[ATTEMPTS], finish[ATTEMPTS];
bool granted[ATTEMPTS], taken[ATTEMPTS], finished[ATTEMPTS];

#ifdef LASTRELEASE
#define released(i) (key == FREE && last == i)
#else
#define released(i) gone[i]
#endif

/* Gives up the attempt: the caller is told that it did not run. */
inline refuse(i) {
	attempt[i] = REFUSED;
	release[i] = true;
	assert(!ran[i])
}

inline registrar_step(i) {
	if
	:: claim[i] && !released(i) ->
		if
		:: key == FREE ->
			assert(!gone[i]); /* a released attempt would hold the key without anyone to run it */
			key = RUNNING; holder = i; granted[i] = true
		:: key == RUNNING && holder == i -> granted[i] = true
		:: else -> taken[i] = true
		fi
	:: release[i] ->
		gone[i] = true;
		if
		:: key == RUNNING && holder == i -> key = FREE; holder = NOBODY; last = i
		:: key == FREE && last == NOBODY -> last = i
		:: else
		fi
	:: finish[i] ->
		if
		:: key == RUNNING && holder == i -> key = DONE
		:: else
		fi;
		finished[i] = (key == DONE && holder == i)
#ifdef FREEDEAD
	:: dead[i] && key == RUNNING && holder == i -> key = FREE; holder = NOBODY
#endif
	fi
}

inline daemon_step(i) {
	if
	:: attempt[i] == NEW -> attempt[i] = ASKED; claim[i] = true
	:: attempt[i] == ASKED && granted[i] -> attempt[i] = HOLDS
#ifdef NOCLAIM
	:: attempt[i] == ASKED -> attempt[i] = HOLDS
#endif
	/* No answer in time. */
	:: attempt[i] == ASKED -> refuse(i)
	/* Another attempt has the key, or the stored answer is replayed. */
	:: attempt[i] == ASKED && taken[i] -> attempt[i] = UNKNOWN
	/* The daemon stops before it sends, or the connect to the upstream fails. */
	:: attempt[i] == HOLDS -> refuse(i)
	:: attempt[i] == HOLDS -> attempt[i] = SENT
	:: attempt[i] == SENT && ran[i] -> attempt[i] = ANSWERED; finish[i] = true
	/* The answer of the upstream is late or lost. */
	:: attempt[i] == SENT -> attempt[i] = UNKNOWN
#ifdef RELEASESENT
	:: attempt[i] == SENT -> attempt[i] = UNKNOWN; release[i] = true
#endif
#ifdef LATEGRANT
	:: attempt[i] == REFUSED && granted[i] -> attempt[i] = SENT
#endif
	:: !dead[i] && attempt[i] != NEW -> dead[i] = true
	fi
}

inline upstream_step(i) {
	runs++;
	ran[i] = true;
	assert(runs <= 1);             /* R6 */
	assert(attempt[i] != REFUSED)  /* R5 */
}

/* A request was sent and may still arrive. */
#define underway(i) (!ran[i] && wire[i])

active proctype system() {
	bool wire[ATTEMPTS];
	byte i;
	do
	:: atomic {
		if
		:: i = 0
		:: i = 1
		:: i = 2
		fi;
		if
		:: (claim[i] && !released(i)) || release[i] || finish[i] -> registrar_step(i)
		:: !dead[i] && attempt[i] != ANSWERED -> daemon_step(i)
		:: underway(i) -> upstream_step(i)
		:: else
		fi;
		wire[i] = wire[i] || attempt[i] == SENT;
#ifdef RESEND
		if
		:: attempt[i] == SENT && ran[i] -> ran[i] = false
		:: true
		fi;
#endif
#ifdef REACH
		assert(!(key == DONE && dead[0] && gone[1] && attempt[2] == ANSWERED));
#endif
		i = 0
	   }
	od
}
