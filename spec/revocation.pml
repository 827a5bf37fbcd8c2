/*
 * Calls with a key at a daemon that may be stopped, cut off or restarted while the key is removed.
 *
 * Covers the bound on revocation: a call that is sent later than LIMIT after the acknowledgement of the change that removed
 * its key never runs.
 *
 * Abstractions:
 * - The replicated log is one number, the last committed version; repair.pml covers the log. In version 1 the call
 *   needs no key, since there are no tenants or its route is public. The daemon starts with it and its proof, just after version 2,
 *   which has the key, was committed. Version 3 removes the key. It is acknowledged when it is committed, which is the
 *   earliest time.
 * - Time is a number that may advance between any two steps, so every process may be stopped at any point. It stands for the
 *   boot-time clock of the daemon.
 * - A linearizable read takes the last committed version when it starts and ends once the controller has applied it. A
 *   controller that is cut off is one that never takes a step again.
 * - There are two controllers, and one ask in progress at each. An answer consists of an update and a heartbeat, which arrive
 *   in this order at any later time. An update may be lost or rejected; an answer may be lost.
 * - There is one call in progress. It is sent, read, checked and run in separate steps.
 *
 * Switches, each of which removes a rule so that an assertion must fail:
 * NOPROOF       calls need no proof
 * HELDOPEN      calls need no proof while the version in effect calls for no key
 * NOBARRIER     a controller answers asks by its applied version without a read
 * LATEDATE      a proof is dated when the answer arrives instead of when the daemon asked
 * NOVERSION     an answer is a proof although the daemon lacks the version that it names
 * SNAPSHOTFIRST the key is looked up before the proof is checked
 * EARLYCHECK    the key is looked up and the proof is checked before the call is read, as when a connection is idle
 * REACH         removes no rule; the assertion fails if a call runs after its key was removed but within the limit, which shows
 *               that the model is not vacuous
 */

#define LIMIT 2
#define LAST_TIME 6
#define NEVER 255

#ifdef NOVERSION
#define ANSWER_PROVES(c) true
#else
#define ANSWER_PROVES(c) (held >= newest[c])
#endif

mtype = { FREE, READING, ANSWERED };       /* progress of an ask at a controller */
mtype = { NONE, SENT, FIRST, SECOND };     /* progress of the call: sent, first and second check passed */

byte now = 1;
byte committed = 2;
byte acknowledged_at = NEVER;

byte applied[2] = 2;
mtype asking[2] = FREE;
byte ask[2];                /* time of the ask */
byte read_index[2];         /* version that the read must see */
byte update[2];             /* update on its way to the daemon; 0 for none */
byte newest[2];             /* version that the answer names */

byte held = 1;              /* version in effect on the daemon; 0 for none */
byte proof = 1;             /* time of the proof; 0 for none */
byte restarts = 0;

inline controller_step(c) {
	if
	:: applied[c] < committed -> applied[c] = committed
	:: asking[c] == READING && applied[c] >= read_index[c] ->
		asking[c] = ANSWERED; update[c] = applied[c]; newest[c] = applied[c]
	fi
}

inline daemon_step(c) {
	if
	:: asking[c] == FREE ->
		asking[c] = READING; ask[c] = now;
#ifndef NOBARRIER
		read_index[c] = committed
#else
		read_index[c] = 0
#endif
	:: asking[c] == ANSWERED && update[c] > 0 -> held = (update[c] > held -> update[c] : held); update[c] = 0
	:: asking[c] == ANSWERED && update[c] > 0 -> update[c] = 0 /* lost or rejected */
	:: asking[c] == ANSWERED && update[c] == 0 ->
		if
		:: ANSWER_PROVES(c) ->
#ifndef LATEDATE
			proof = (ask[c] > proof -> ask[c] : proof)
#else
			proof = now
#endif
		:: else
		fi;
		end_ask(c)
	:: asking[c] == ANSWERED -> end_ask(c) /* the answer is lost */
	fi
}

inline end_ask(c) {
	asking[c] = FREE; ask[c] = 0; read_index[c] = 0; update[c] = 0; newest[c] = 0
}

/* A restart loses the proof. The first snapshot may be of any version that a controller applied. */
inline restart() {
	restarts++;
	held = 0; proof = 0;
	end_ask(0); end_ask(1);
	call = NONE; sent_at = 0
}

#define RECENT (proof > 0 && now < proof + LIMIT)
#if defined(NOPROOF)
#define PROVEN true
#elif defined(HELDOPEN)
#define PROVEN (held == 1 || RECENT)
#else
#define PROVEN RECENT
#endif

#define KEY_KNOWN (held == 1 || held == 2) /* or no key is needed */

#ifdef SNAPSHOTFIRST
#define FIRST_CHECK KEY_KNOWN
#define SECOND_CHECK PROVEN
#else
#define FIRST_CHECK PROVEN
#define SECOND_CHECK KEY_KNOWN
#endif

inline run_call() {
	assert(acknowledged_at == NEVER || sent_at < acknowledged_at + LIMIT);
#ifdef REACH
	assert(acknowledged_at == NEVER || sent_at <= acknowledged_at);
#endif
	call = NONE; sent_at = 0
}

active proctype system() {
	mtype call = NONE;
	byte sent_at = 0;
	do
	:: atomic { now < LAST_TIME -> now++ }
	:: atomic { committed == 2 -> committed = 3; acknowledged_at = now }
	:: atomic { controller_step(0) }
	:: atomic { controller_step(1) }
	:: atomic { daemon_step(0) }
	:: atomic { daemon_step(1) }
	:: atomic { restarts < 1 -> restart() }
#ifndef EARLYCHECK
	:: atomic { call == NONE -> call = SENT; sent_at = now }
	:: atomic { call == SENT && FIRST_CHECK -> call = FIRST }
	:: atomic { call == FIRST && SECOND_CHECK -> call = SECOND }
	:: atomic { call == SECOND -> run_call() }
#else
	:: atomic { call == NONE && FIRST_CHECK -> call = FIRST }
	:: atomic { call == FIRST && SECOND_CHECK -> call = SECOND }
	:: atomic { call == SECOND -> call = SENT; sent_at = now }
	:: atomic { call == SENT -> run_call() }
#endif
	:: atomic { call != NONE -> call = NONE; sent_at = 0 } /* refused */
	od
}
