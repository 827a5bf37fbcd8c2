/*
 * Replacement of a voter that lost its disk, in two single steps, while a second voter is lost right after.
 *
 * Covers R9 (an accepted entry of the replicated log is never lost) and that no term has two leaders.
 *
 * Node OLD lost its disk and comes back as node SPARE with an empty log. Leaders remove OLD, then add SPARE.
 * They may also take any other voter for lost and remove it. The model starts after the first election: node 0 leads
 * term 1, and every log has the accepted first entry, the membership of the voters.
 *
 * Abstracted away:
 * - A lost identity never acts again, which is the same as a node that is never scheduled. So the loss of any further
 *   voter, at any moment, is part of every run, and also an OLD that is only cut off and comes back.
 * - A request and the handling of it are one step. An answer is kept and may be used at any later time or never.
 * - Timeouts, pre-vote and check-quorum. A member may start an election at any time, also a leader.
 * - Entries have no content but their term and, if any, the membership. Each leader begins with an entry of its term.
 *   Compaction is left out.
 *
 * VOTERS is the number of voters at the start:
 * 3 is the membership of today. Every node may start elections and every voter may be removed.
 * 4 is the membership of five voters after the removal of OLD is accepted. Here node 0 is the second voter that is lost,
 *   and only nodes 0 and 1 start elections, so that the search stays short: nodes 1 to 3 begin alike.
 *
 * Switches, each of which removes a rule so that an assertion must fail:
 * ONESTEP    OLD is replaced by SPARE in one change
 * OVERLAP    a change of the membership starts before the last one is accepted
 * NOOWN      a leader changes the membership before an entry of its own term is accepted; needs VOTERS=4
 * FRESHVOTES OLD comes back under its identity with an empty disk, and votes
 * LOSTVOTE   a vote is not synced before it is answered, and is lost by a restart
 * ANYLOG     a node votes for a candidate whose log lacks entries that it has
 * REACH      removes no rule: SPARE must become a voter and then lead, or the model proves nothing
 */

#ifndef VOTERS
#define VOTERS 3
#endif
#ifndef TERMS
#define TERMS 3   /* highest term */
#endif
#ifndef LENGTH
#if VOTERS == 3
#define LENGTH 5  /* longest log */
#else
#define LENGTH 3
#endif
#endif

#define NODES (VOTERS + 1)
#define SPARE VOTERS
#if VOTERS == 3
#define OLD 2
#define START 7
#define LOSABLE START       /* voters that leaders may take for lost */
#define CAMPAIGNERS 15      /* nodes that start elections */
#else
#define OLD 9     /* already removed */
#define START 15
#define LOSABLE BIT(0)
#define CAMPAIGNERS 3
#endif

#define BIT(n) (1 << (n))
#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1) + (((m) >> 4) & 1))
#define MAJORITY(set, members) (2 * COUNT((set) & (members)) > COUNT(members))

/* An entry is its term and the membership it sets, or 0 for none. An unused place is 0. */
#define ENTRY(t, members) ((t) * 32 + (members))
#define LOG(n, i) log[(n) * LENGTH + (i)]
#define TERM(e) ((e) >> 5)
#define SET(n, i) (LOG(n, i) & 31)
#if LENGTH == 5
#define LATE(n) (SET(n, 4) -> 4 : (SET(n, 3) -> 3 : (SET(n, 2) -> 2 : (SET(n, 1) -> 1 : 0))))
#elif LENGTH == 3
#define LATE(n) (SET(n, 2) -> 2 : (SET(n, 1) -> 1 : 0))
#else
#define LATE(n) (SET(n, 3) -> 3 : (SET(n, 2) -> 2 : (SET(n, 1) -> 1 : 0)))
#endif
#define MEMBERS(n) SET(n, LATE(n))
#define LAST(n) LOG(n, size[n] - 1)

byte term[NODES], vote[NODES];  /* vote: node + 1, or 0 */
byte votes[NODES];              /* votes that a candidate got */
bool leads[NODES];
byte log[NODES * LENGTH], size[NODES];
byte commit[NODES];             /* highest index that a leader knows to be accepted; new leaders know the first */
byte stored[(TERMS + 1) * LENGTH];        /* by term of the leader and index: nodes that stored the entry and answered */
byte accepted[LENGTH];          /* entries that were ever accepted */
byte since[LENGTH];             /* term in which each was accepted */
byte ruler[TERMS + 1];                  /* leader of each term + 1 */

/* Ends the node's leadership or candidature. */
inline retire(n) {
	if
	:: leads[n] ->
		for (j : 0 .. LENGTH - 1) { stored[term[n] * LENGTH + j] = 0 }
	:: else
	fi;
	leads[n] = false;
	votes[n] = 0;
	commit[n] = 0
}

/* Moves node n to term t as a follower. */
inline follow(n, t) {
	retire(n);
	if
	:: term[n] < t -> term[n] = t; vote[n] = 0
	:: else
	fi
}

inline count_votes(c) {
	if
	:: MAJORITY(votes[c], MEMBERS(c)) ->
		leads[c] = true;
		votes[c] = 0;
		assert(ruler[term[c]] == 0 || ruler[term[c]] == c + 1); /* one leader in a term */
		ruler[term[c]] = c + 1;
		for (i : 0 .. LENGTH - 1) {
			/* No accepted entry is lost. A leader elected late, in an older term, need not have it. */
			assert(accepted[i] == 0 || term[c] <= since[i] || accepted[i] == LOG(c, i))
		}
		/* A leader begins with an entry of its own term. */
		if
		:: size[c] < LENGTH -> append(c, 0)
		:: else
		fi
#ifdef REACH
		assert(c != SPARE)
#endif
	:: else
	fi
}

inline campaign(c) {
	retire(c);
	term[c]++;
	vote[c] = c + 1;
	votes[c] = BIT(c);
	count_votes(c)
}

inline ask(c, v) {
	if
	:: term[v] < term[c] -> follow(v, term[c])
	:: else
	fi;
	if
#ifdef ANYLOG
	:: vote[v] == 0 ->
#else
	:: vote[v] == 0 && (TERM(LAST(c)) > TERM(LAST(v)) || (TERM(LAST(c)) == TERM(LAST(v)) && size[c] >= size[v])) ->
#endif
		vote[v] = c + 1;
		votes[c] = votes[c] | BIT(v);
		count_votes(c)
	:: else
	fi
}

/* Sends the first entry that f lacks. */
inline replicate(l, f) {
	follow(f, term[l]);
	i = 0;
	do
	:: i < size[l] && LOG(f, i) == LOG(l, i) -> i++
	:: else -> break
	od;
	if
	:: i < size[l] ->
		LOG(f, i) = LOG(l, i);
		size[f] = i + 1;
		for (j : i + 1 .. LENGTH - 1) { LOG(f, j) = 0 }
	:: else -> i--
	fi;
	/* Only entries of the leader's own term are counted. */
	for (j : 0 .. i) {
		if
		:: TERM(LOG(l, j)) == term[l] -> stored[term[l] * LENGTH + j] = stored[term[l] * LENGTH + j] | BIT(f)
		:: else
		fi
	}
}

inline append(l, members) {
	LOG(l, size[l]) = ENTRY(term[l], members);
	stored[term[l] * LENGTH + size[l]] = BIT(l);
	size[l]++
}

/* All entries up to k are accepted. */
inline accept(l, k) {
	commit[l] = k;
	for (i : 0 .. k) {
		assert(accepted[i] == 0 || accepted[i] == LOG(l, i));
		if
		:: accepted[i] == 0 -> accepted[i] = LOG(l, i); since[i] = term[l]
		:: else
		fi
	}
}

#define ACCEPTABLE(l, k) (k < size[l] && k > commit[l] && TERM(LOG(l, k)) == term[l] && \
	MAJORITY(stored[term[l] * LENGTH + (k)], MEMBERS(l)))

#ifdef OVERLAP
#define SETTLED(l) true
#else
#define SETTLED(l) (LATE(l) <= commit[l])
#endif
#ifdef NOOWN
#define OWN(l) true
#else
#define OWN(l) (TERM(LOG(l, commit[l])) == term[l])
#endif
#define MAYCHANGE(l) (leads[l] && size[l] < LENGTH && SETTLED(l) && OWN(l))

inline choose(n) {
	if
	:: n = 0
	:: n = 1
	:: n = 2
	:: n = 3
#if VOTERS == 4
	:: n = 4
#endif
	fi
}

active proctype system() {
	byte n, m, i, j;
#ifdef FRESHVOTES
	bool wiped = false;
#endif
	d_step {
		for (n : 0 .. VOTERS - 1) {
			term[n] = 1; vote[n] = 1; LOG(n, 0) = ENTRY(1, START); size[n] = 1
		}
		LOG(SPARE, 0) = ENTRY(1, START); size[SPARE] = 1;
		leads[0] = true; ruler[1] = 1; accepted[0] = ENTRY(1, START); since[0] = 1;
		n = 0
	}
	do
	:: atomic {
		choose(n);
		choose(m);
		if
		:: d_step { n == m && term[n] < TERMS && (MEMBERS(n) & BIT(n) & CAMPAIGNERS) -> campaign(n); n = 0; m = 0; i = 0; j = 0 }
		:: d_step { n != m && votes[n] && !(votes[n] & BIT(m)) && (MEMBERS(n) & BIT(m)) && term[m] <= term[n] ->
			ask(n, m); n = 0; m = 0; i = 0; j = 0 }
		:: d_step { n != m && leads[n] && term[m] <= term[n] && ((MEMBERS(n) & BIT(m)) || m == SPARE) ->
			replicate(n, m); n = 0; m = 0; i = 0; j = 0 }
		:: d_step { n == m && leads[n] && ACCEPTABLE(n, 1) -> accept(n, 1); n = 0; m = 0; i = 0; j = 0 }
		:: d_step { n == m && leads[n] && ACCEPTABLE(n, 2) -> accept(n, 2); n = 0; m = 0; i = 0; j = 0 }
#if LENGTH >= 4
		:: d_step { n == m && leads[n] && ACCEPTABLE(n, 3) -> accept(n, 3); n = 0; m = 0; i = 0; j = 0 }
#endif
#if LENGTH >= 5
		:: d_step { n == m && leads[n] && ACCEPTABLE(n, 4) -> accept(n, 4); n = 0; m = 0; i = 0; j = 0 }
#endif
		/* Takes a voter for lost and removes it. */
		:: d_step { n != m && MAYCHANGE(n) && (MEMBERS(n) & BIT(m) & LOSABLE) -> append(n, (MEMBERS(n) & ~BIT(m))); n = 0; m = 0; i = 0; j = 0 }
		/* Adds the new identity once the old one is removed. */
		:: d_step { m == SPARE && MAYCHANGE(n) && !(MEMBERS(n) & (BIT(OLD) | BIT(SPARE))) ->
			append(n, (MEMBERS(n) | BIT(SPARE))); n = 0; m = 0; i = 0; j = 0 }
#ifdef ONESTEP
		:: d_step { m == SPARE && MAYCHANGE(n) && n != OLD && (MEMBERS(n) & BIT(OLD)) && !(MEMBERS(n) & BIT(SPARE)) ->
			append(n, ((MEMBERS(n) | BIT(SPARE)) & ~BIT(OLD))); n = 0; m = 0; i = 0; j = 0 }
#endif
#ifdef FRESHVOTES
		:: d_step { n == OLD && m == OLD && !wiped ->
			wiped = true; retire(OLD); term[OLD] = 0; vote[OLD] = 0; size[OLD] = 1;
			for (j : 1 .. LENGTH - 1) { LOG(OLD, j) = 0 }
			n = 0; m = 0; i = 0; j = 0 }
#endif
#ifdef LOSTVOTE
		:: d_step { n == m && vote[n] -> retire(n); vote[n] = 0; n = 0; m = 0; i = 0; j = 0 }
#endif
		:: else -> n = 0; m = 0
		fi
	   }
	od
}
