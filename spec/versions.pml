/*
 * Distribution of configuration versions by controllers, any of which may be stale, to a daemon that restarts.
 *
 * Covers R1 (the version of a daemon never decreases), R3 (a version is applied completely or not at all)
 * and the part of R9 that a committed configuration is not reverted on a daemon.
 *
 * Abstractions:
 * - The replicated log is one number, the last committed version; repair.pml covers the log.
 * - There is one daemon, because daemons do not affect each other.
 * - Time and partitions are left out. A partitioned controller is one that applies nothing and confirms no barrier for
 *   a long time.
 * - A configuration consists of two cells. Version 2 changes the first, version 3 the second.
 * - The checksum is a comparison with the configuration of the version.
 * - A controller with a session may send any full snapshot or delta up to the version it has applied. Messages may be
 *   delayed, reordered, duplicated or lost, and may arrive after the daemon has moved to the other controller.
 *   A restart of the daemon closes its connections, so all sessions and all messages to it are lost.
 *
 * Switches, each of which removes a rule so that an assertion must fail:
 * NOBARRIER   a controller serves a daemon that has no snapshot from its applied version without waiting for a barrier
 * NOORDER     a daemon accepts a version that is not above the held one
 * NOCHECK     a daemon merges a delta from a version other than the held one, and skips the checksum; either check
 *             suffices
 * EFFECTFIRST a daemon with a data folder puts a snapshot into effect before it is stored
 * REACH       removes no rule; the assertion fails if the last version is reached after the last restart, which shows
 *             that the model is not vacuous
 */

#define LAST_VERSION 3
#define RESTARTS 2
#define FULL_SNAPSHOT 0 /* value of "from" in the message of a full snapshot */

#define CELL_1(version) ((version) >= 2 -> 2 : (version))
#define CELL_2(version) ((version) >= 3 -> 3 : ((version) >= 1 -> 1 : 0))

mtype = { NONE, WAITING, OPEN };   /* session of a controller with the daemon */
mtype = { IDLE, MERGED, STORED };  /* progress of the daemon with a snapshot */

byte committed_version = 0; /* last version committed by a majority */
byte applied_version[2];    /* last version applied by each controller */
mtype session[2] = NONE;
byte barrier[2];            /* version that a controller must apply before it opens a waiting session */

byte held = 0;              /* version in effect; 0 for none */
byte held_first = 0;        /* cells in effect */
byte held_second = 0;
byte stored_version = 0;    /* version in the data folder */
byte highest_held = 0;      /* highest version ever in effect */
byte restarts = 0;

bool message_sent[16];      /* messages sent since the last restart, indexed by from * 4 + version */

inline controller_step(c) {
	if
	:: applied_version[c] < committed_version -> applied_version[c]++
	/* A daemon without a snapshot waits for a barrier: the last index, which a majority confirms after the request. */
#ifndef NOBARRIER
	:: session[c] == NONE && held == 0 -> session[c] = WAITING; barrier[c] = committed_version
#else
	:: session[c] == NONE -> session[c] = OPEN
#endif
	:: session[c] == NONE && held > 0 -> session[c] = OPEN
	:: session[c] == WAITING && applied_version[c] >= barrier[c] -> session[c] = OPEN; barrier[c] = 0
	/* The daemon disconnects from the controller. */
	:: session[c] != NONE -> session[c] = NONE; barrier[c] = 0
	:: session[c] == OPEN && applied_version[c] > 0 -> message_sent[FULL_SNAPSHOT * 4 + applied_version[c]] = true
	:: session[c] == OPEN && applied_version[c] > 1 -> message_sent[1 * 4 + applied_version[c]] = true
	:: session[c] == OPEN && applied_version[c] > 2 -> message_sent[2 * 4 + applied_version[c]] = true
	fi
}

/* Merges a message with the configuration in effect, and discards the result unless it passes the checks. */
inline merge(from, version) {
	staged = version;
	staged_first = ((from == FULL_SNAPSHOT || CELL_1(staged) != CELL_1(from)) -> CELL_1(staged) : held_first);
	staged_second = ((from == FULL_SNAPSHOT || CELL_2(staged) != CELL_2(from)) -> CELL_2(staged) : held_second);
	phase = MERGED;
	if
#ifndef NOORDER
	:: staged <= held -> discard()
#endif
#ifndef NOCHECK
	:: from != FULL_SNAPSHOT && from != held -> discard()
	:: staged_first != CELL_1(staged) || staged_second != CELL_2(staged) -> discard()
#endif
	:: else
	fi
}

/* Drops the staged snapshot. */
inline discard() {
	staged = 0; staged_first = 0; staged_second = 0; phase = IDLE
}

inline store_snapshot() {
	stored_version = (has_data_folder -> staged : 0)
}

/* Puts the staged snapshot into effect. */
inline activate() {
	held = staged; held_first = staged_first; held_second = staged_second;
	assert(held >= highest_held);                                       /* R1, R9 */
	assert(held_first == CELL_1(held) && held_second == CELL_2(held)); /* R3 */
#ifdef REACH
	assert(held < LAST_VERSION || restarts < RESTARTS);
#endif
	highest_held = held
}

/* Restarts the daemon from its data folder, or without a snapshot. */
inline restart() {
	restarts++;
	session[0] = NONE; session[1] = NONE;
	barrier[0] = 0; barrier[1] = 0;
	/* staged is the loop variable here */
	for (staged : 0 .. 15) { message_sent[staged] = false }
	held = 0; held_first = 0; held_second = 0;
	staged = stored_version; staged_first = CELL_1(staged); staged_second = CELL_2(staged);
	if
	:: staged > 0 -> activate()
	:: else
	fi;
	discard()
}

active proctype system() {
	byte staged, staged_first, staged_second; /* snapshot in progress: version and cells */
	mtype phase = IDLE;
	bool has_data_folder;
	if
	:: has_data_folder = true
	:: has_data_folder = false
	fi;
	do
	:: atomic { committed_version < LAST_VERSION -> committed_version++ }
	:: atomic { controller_step(0) }
	:: atomic { controller_step(1) }
	:: atomic { phase == IDLE && message_sent[1] -> merge(FULL_SNAPSHOT, 1) }
	:: atomic { phase == IDLE && message_sent[2] -> merge(FULL_SNAPSHOT, 2) }
	:: atomic { phase == IDLE && message_sent[3] -> merge(FULL_SNAPSHOT, 3) }
	:: atomic { phase == IDLE && message_sent[6] -> merge(1, 2) }
	:: atomic { phase == IDLE && message_sent[7] -> merge(1, 3) }
	:: atomic { phase == IDLE && message_sent[11] -> merge(2, 3) }
#ifndef EFFECTFIRST
	:: atomic { phase == MERGED -> store_snapshot(); phase = STORED }
	:: atomic { phase == STORED -> activate(); discard() }
#else
	:: atomic { phase == MERGED -> activate(); phase = STORED }
	:: atomic { phase == STORED -> store_snapshot(); discard() }
#endif
	:: atomic { restarts < RESTARTS -> restart() }
	od
}
