/*
 * Claims: at-most-once calls per idempotency key, and refusals that guarantee that a call did not run.
 *
 * Covers R6 (a call runs at most once) and R5 (a call refused as not run never ran),
 * and the rule that a released attempt is never granted again, so that its key stays free.
 *
 * Abstractions:
 * - The state machine of the controllers, which grants claims, is replicated; here it is one process that never loses
 *   its state. repair.pml covers the replicated log.
 * - There is one key, because claims of different keys are independent. Expiry of keys is left out.
 * - A resend by the caller, a retry by the egress daemon and a request through a second daemon are each another
 *   attempt with the same key. All attempts may be in flight at the same time.
 * - Messages between daemons and the state machine may be delayed, reordered, duplicated or lost.
 * - Requests to the upstream are not duplicated, but may arrive after the daemon has crashed.
 *
 * Switches, each of which removes a rule so that an assertion must fail:
 * NOCLAIM     an attempt is sent to the upstream before it is granted
 * LATEGRANT   an attempt that was refused as not run is sent when its grant arrives late
 * RELEASESENT an attempt that was sent is released when its outcome is unknown
 * FREEDEAD    the state machine frees the key of a daemon that crashed
 * LASTRELEASE the state machine remembers only the last released attempt of a key
 * RESEND      the HTTP transport sends the request again after the connection broke
 * REACH       removes no rule; the assertion fails if a call can finish after a crash and a release, which shows that
 *             the model is not vacuous
 */

#define ATTEMPTS 3
#define NO_ATTEMPT 9

mtype = { FREE, RUNNING, DONE };                                      /* state of the key */
mtype = { NEW, CLAIMED, GRANTED, SENT, REFUSED, ANSWERED, UNKNOWN };  /* state of an attempt */

mtype key = FREE;
byte key_holder = NO_ATTEMPT;      /* attempt that was granted the key */
bool release_handled[ATTEMPTS];    /* the state machine handled a release of the attempt */
byte last_released = NO_ATTEMPT;

mtype attempt[ATTEMPTS] = NEW;
bool crashed[ATTEMPTS];            /* the daemon of the attempt crashed */
byte runs = 0;                     /* runs at the upstream */
bool ran[ATTEMPTS];

/* Messages that were sent at least once. A message stays available, which models delay and duplicates. */
bool claim[ATTEMPTS], release[ATTEMPTS], finish[ATTEMPTS];
bool granted[ATTEMPTS], denied[ATTEMPTS], finished[ATTEMPTS];

#ifdef LASTRELEASE
#define released(i) (key == FREE && last_released == i)
#else
#define released(i) release_handled[i]
#endif

/* Refuses the attempt: the caller is told that the call did not run. */
inline refuse_attempt(i) {
	attempt[i] = REFUSED;
	release[i] = true;
	assert(!ran[i])
}

inline state_machine_step(i) {
	if
	:: claim[i] && !released(i) ->
		if
		:: key == FREE ->
			assert(!release_handled[i]); /* a released attempt would hold the key, but never run */
			key = RUNNING; key_holder = i; granted[i] = true
		:: key == RUNNING && key_holder == i -> granted[i] = true
		:: else -> denied[i] = true
		fi
	:: release[i] ->
		release_handled[i] = true;
		if
		:: key == RUNNING && key_holder == i -> key = FREE; key_holder = NO_ATTEMPT; last_released = i
		:: key == FREE && last_released == NO_ATTEMPT -> last_released = i
		:: else
		fi
	:: finish[i] ->
		if
		:: key == RUNNING && key_holder == i -> key = DONE
		:: else
		fi;
		finished[i] = (key == DONE && key_holder == i)
#ifdef FREEDEAD
	:: crashed[i] && key == RUNNING && key_holder == i -> key = FREE; key_holder = NO_ATTEMPT
#endif
	fi
}

inline daemon_step(i) {
	if
	:: attempt[i] == NEW -> attempt[i] = CLAIMED; claim[i] = true
	:: attempt[i] == CLAIMED && granted[i] -> attempt[i] = GRANTED
#ifdef NOCLAIM
	:: attempt[i] == CLAIMED -> attempt[i] = GRANTED
#endif
	/* The claim timed out. */
	:: attempt[i] == CLAIMED -> refuse_attempt(i)
	/* Another attempt holds the key, or the stored answer is replayed. */
	:: attempt[i] == CLAIMED && denied[i] -> attempt[i] = UNKNOWN
	/* The daemon stops before it sends the request, or fails to connect to the upstream. */
	:: attempt[i] == GRANTED -> refuse_attempt(i)
	:: attempt[i] == GRANTED -> attempt[i] = SENT
	:: attempt[i] == SENT && ran[i] -> attempt[i] = ANSWERED; finish[i] = true
	/* The answer of the upstream is delayed or lost. */
	:: attempt[i] == SENT -> attempt[i] = UNKNOWN
#ifdef RELEASESENT
	:: attempt[i] == SENT -> attempt[i] = UNKNOWN; release[i] = true
#endif
#ifdef LATEGRANT
	:: attempt[i] == REFUSED && granted[i] -> attempt[i] = SENT
#endif
	:: !crashed[i] && attempt[i] != NEW -> crashed[i] = true
	fi
}

inline upstream_step(i) {
	runs++;
	ran[i] = true;
	assert(runs <= 1);             /* R6 */
	assert(attempt[i] != REFUSED)  /* R5 */
}

/* The request was sent and has not arrived at the upstream yet. */
#define request_in_flight(i) (!ran[i] && request_sent[i])

active proctype system() {
	bool request_sent[ATTEMPTS];
	byte i;
	do
	:: atomic {
		if
		:: i = 0
		:: i = 1
		:: i = 2
		fi;
		if
		:: (claim[i] && !released(i)) || release[i] || finish[i] -> state_machine_step(i)
		:: !crashed[i] && attempt[i] != ANSWERED -> daemon_step(i)
		:: request_in_flight(i) -> upstream_step(i)
		:: else
		fi;
		request_sent[i] = request_sent[i] || attempt[i] == SENT;
#ifdef RESEND
		if
		:: attempt[i] == SENT && ran[i] -> ran[i] = false
		:: true
		fi;
#endif
#ifdef REACH
		assert(!(key == DONE && crashed[0] && release_handled[1] && attempt[2] == ANSWERED));
#endif
		i = 0
	   }
	od
}
