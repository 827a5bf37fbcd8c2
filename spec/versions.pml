/*
 * Version distribution: controllers, of which any may be stale, and a daemon that restarts.
 *
 * Covers R1 (a daemon never moves back), R3 (a version is applied completely or not at all)
 * and the part of R9 that an accepted configuration is not reverted on a daemon.
 *
 * Abstracted away:
 * - The replicated log is one number, the last accepted version; repair.pml covers the log.
 * - Daemons do not affect each other, so there is one.
 * - Time and partitions. A controller that applies nothing and confirms no barrier for long is a cut-off one.
 * - A configuration is two cells. Version 2 changes the first, version 3 the second.
 * - The checksum is a comparison with the configuration that the version stands for.
 * - Messages. A controller with a session may send any full or delta up to what it has applied. What was sent may
 *   arrive at any time, in any order, again or never, also after the daemon has moved to the other controller.
 *   A restart of the daemon loses all messages to it and all sessions, as it closes the connections.
 *
 * Switches, each of which removes a rule so that an assertion must fail:
 * NOBARRIER   a controller answers a daemon without a snapshot from what it has applied
 * NOORDER     a daemon accepts a version that is not above the held one
 * NOCHECK     a daemon merges a delta whose from is not the held version, without a checksum; either check is enough
 * EFFECTFIRST a daemon with a data folder puts a snapshot into effect before it is stored
 * REACH       removes no rule: the last version must be reached after a restart, or the model proves nothing
 */

#define LAST 3
#define RESTARTS 2
#define FULL 0 /* from of a full snapshot */

#define FIRST(v)  ((v) >= 2 -> 2 : (v))
#define SECOND(v) ((v) >= 3 -> 3 : ((v) >= 1 -> 1 : 0))

mtype = { NONE, WAITING, OPEN };  /* session of a controller with the daemon */
mtype = { IDLE, TAKEN, STORED };  /* progress of the daemon with a snapshot */

byte accepted = 0;      /* last version that a majority accepted */
byte applied[2];        /* last version that each controller applied */
mtype session[2] = NONE;
byte barrier[2];        /* index that a waiting session needs */

byte held = 0;          /* version in effect; 0 for none */
byte first = 0;         /* cells in effect */
byte second = 0;
byte stored = 0;        /* version in the data folder */
byte highest = 0;       /* highest version ever in effect */
byte restarts = 0;

bool sent[16];          /* messages sent in this life of the daemon, by from * 4 + version */

inline controller(c) {
	if
	:: applied[c] < accepted -> applied[c]++
	/* A daemon without a snapshot asks for the barrier: a majority confirms the last index after the request arrived. */
#ifndef NOBARRIER
	:: session[c] == NONE && held == 0 -> session[c] = WAITING; barrier[c] = accepted
#else
	:: session[c] == NONE -> session[c] = OPEN
#endif
	:: session[c] == NONE && held > 0 -> session[c] = OPEN
	:: session[c] == WAITING && applied[c] >= barrier[c] -> session[c] = OPEN; barrier[c] = 0
	/* The daemon leaves the controller. */
	:: session[c] != NONE -> session[c] = NONE; barrier[c] = 0
	:: session[c] == OPEN && applied[c] > 0 -> sent[FULL * 4 + applied[c]] = true
	:: session[c] == OPEN && applied[c] > 1 -> sent[1 * 4 + applied[c]] = true
	:: session[c] == OPEN && applied[c] > 2 -> sent[2 * 4 + applied[c]] = true
	fi
}

/* Takes a message that passes the checks, and merges it with what is in effect. */
inline take(from, version) {
	v = version;
	a = ((from == FULL || FIRST(v) != FIRST(from)) -> FIRST(v) : first);
	b = ((from == FULL || SECOND(v) != SECOND(from)) -> SECOND(v) : second);
	phase = TAKEN;
	if
#ifndef NOORDER
	:: v <= held -> clear()
#endif
#ifndef NOCHECK
	:: from != FULL && from != held -> clear()
	:: a != FIRST(v) || b != SECOND(v) -> clear()
#endif
	:: else
	fi
}

inline clear() {
	v = 0; a = 0; b = 0; phase = IDLE
}

inline store() {
	stored = (folder -> v : 0)
}

inline effect() {
	held = v; first = a; second = b;
	assert(held >= highest);                                /* R1, R9 */
	assert(first == FIRST(held) && second == SECOND(held)); /* R3 */
#ifdef REACH
	assert(held < LAST || restarts < RESTARTS);
#endif
	highest = held
}

/* Starts again from the data folder, or without memory. */
inline restart() {
	restarts++;
	session[0] = NONE; session[1] = NONE;
	barrier[0] = 0; barrier[1] = 0;
	for (v : 0 .. 15) { sent[v] = false }
	held = 0; first = 0; second = 0;
	v = stored; a = FIRST(v); b = SECOND(v);
	if
	:: v > 0 -> effect()
	:: else
	fi;
	clear()
}

active proctype system() {
	byte v, a, b;
	mtype phase = IDLE;
	bool folder;
	if
	:: folder = true
	:: folder = false
	fi;
	do
	:: atomic { accepted < LAST -> accepted++ }
	:: atomic { controller(0) }
	:: atomic { controller(1) }
	:: atomic { phase == IDLE && sent[1] -> take(FULL, 1) }
	:: atomic { phase == IDLE && sent[2] -> take(FULL, 2) }
	:: atomic { phase == IDLE && sent[3] -> take(FULL, 3) }
	:: atomic { phase == IDLE && sent[6] -> take(1, 2) }
	:: atomic { phase == IDLE && sent[7] -> take(1, 3) }
	:: atomic { phase == IDLE && sent[11] -> take(2, 3) }
#ifndef EFFECTFIRST
	:: atomic { phase == TAKEN -> store(); phase = STORED }
	:: atomic { phase == STORED -> effect(); clear() }
#else
	:: atomic { phase == TAKEN -> effect(); phase = STORED }
	:: atomic { phase == STORED -> store(); clear() }
#endif
	:: atomic { restarts < RESTARTS -> restart() }
	od
}
