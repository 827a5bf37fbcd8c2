/*
 * Decisions of voters that know which of them have lost their disk: elections, commits and removals of voters.
 *
 * Covers R9 (an accepted, that is committed, entry of the replicated log is never lost) and the rule that no term has
 * two leaders, for the quorum of controller/replicator/quorum.go. Without lost voters it is a majority. Otherwise it is a majority
 * of the others, and at least VOTERS - VOTERS/2 of them. While a change of the voters is not known to be committed, a decision
 * takes a quorum of the voters before and after it.
 *
 * The voters in LOSABLE may lose their disk at any moment. They come back under another identity, which has no vote, so
 * here they never act again. What they answered before still counts: replies under way arrive later. A candidate
 * may know of losses when its election begins, and uses what it knows then as long as the term lasts. Any voter may be removed from
 * the membership, also while it is only silent.
 * The model starts after the first election: node 0 leads term 1, and every log has the committed first entry.
 *
 * Abstractions:
 * - A node that is removed without notice is one that is never scheduled again. So every run includes the loss of any
 *   further voter at any moment, and also one that is only cut off and comes back.
 * - A request and its handling are one step. A reply is kept and may be used at any later time or never.
 * - Timeouts, pre-vote and check-quorum are left out. A member may start an election at any time, even a leader.
 * - Entries have no content except their term and, if any, the membership. Each leader begins with an entry of its
 *   term.
 * - Every node knows whether a membership is committed. A node that does not know it needs a second quorum, so it
 *   decides less often.
 * - A voter that has lost its disk is not added again; repair.pml covers that.
 *
 * VOTERS is the number of voters at the start, 3 or 4.
 *
 * Switches, each of which removes a rule so that an assertion must fail:
 * NOPROOF    a voter that is only silent counts as one that has lost its disk
 * LATEPROOF  a loss that becomes known during an election or later counts at once, with the answers from before; needs VOTERS=3
 * NOJOINT    a change of the voters takes a quorum of the voters after it only
 * MAJORITY   a majority of the voters that have their disk is a quorum; needs VOTERS=3, where two may lose theirs
 * REACH      removes no rule; the assertion fails if a node leads with two votes of four, which shows that the model
 *            is not vacuous; needs VOTERS=4
 */

#ifndef VOTERS
#define VOTERS 4
#endif
#ifndef TERMS
#define TERMS 3   /* highest term */
#endif
#define LENGTH 3  /* maximum length of a log */

#define NODES VOTERS
#if VOTERS == 4
#define INITIAL_MEMBERS 15
#define LOSABLE BIT(2)
#else
#define INITIAL_MEMBERS 7
#define LOSABLE (BIT(1) | BIT(2))
#endif

#define BIT(n) (1 << (n))
#define BIT_COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1))
#ifdef MAJORITY
#define ALL_DISKS(voters) 0
#else
#define ALL_DISKS(voters) ((voters) - (voters) / 2)
#endif
#define IS_QUORUM(set, members, gone) \
	(BIT_COUNT((set) & (members) & ~(gone)) > BIT_COUNT((members) & ~(gone)) / 2 && \
	BIT_COUNT((set) & (members) & ~(gone)) >= ALL_DISKS(BIT_COUNT(members)))

/* An entry is its term and the membership that it sets, 0 if it sets none. An unused log slot is 0. */
#define ENTRY(t, members) ((t) * 32 + (members))
#define LOG(n, i) log[(n) * LENGTH + (i)]
#define TERM(e) ((e) >> 5)
#define MEMBERSHIP(n, i) (LOG(n, i) & 31)
/* Index of the latest entry of the log that sets the membership, and the membership before it. */
#define MEMBERSHIP_INDEX(n) (MEMBERSHIP(n, 2) -> 2 : (MEMBERSHIP(n, 1) -> 1 : 0))
#define MEMBERS(n) MEMBERSHIP(n, MEMBERSHIP_INDEX(n))
#define PREVIOUS_MEMBERS(n) (MEMBERSHIP_INDEX(n) == 2 && MEMBERSHIP(n, 1) -> MEMBERSHIP(n, 1) : MEMBERSHIP(n, 0))
#define LAST_ENTRY(n) LOG(n, log_size[n] - 1)
#ifdef NOJOINT
#define MEMBERSHIP_KNOWN(n) true
#else
#define MEMBERSHIP_KNOWN(n) (committed[MEMBERSHIP_INDEX(n)] == LOG(n, MEMBERSHIP_INDEX(n)))
#endif
/* Whether set decides for node n. */
#define DECIDES(set, n) (IS_QUORUM(set, MEMBERS(n), known_lost[n]) && \
	(MEMBERSHIP_KNOWN(n) || IS_QUORUM(set, PREVIOUS_MEMBERS(n), known_lost[n])))
/* Nodes that node n asks for votes and entries. */
#define ELECTORATE(n) (MEMBERS(n) | (MEMBERSHIP_KNOWN(n) -> 0 : PREVIOUS_MEMBERS(n)))

byte lost;                               /* set of nodes that have lost their disk */
byte known_lost[NODES];                  /* the same as each node knew it when its last election began */
byte term[NODES], voted_for[NODES];      /* voted_for: node + 1, or 0 */
byte votes[NODES];                       /* set of nodes that voted for a candidate */
bool is_leader[NODES];
byte log[NODES * LENGTH], log_size[NODES];
byte commit_index[NODES];                /* highest committed index known to a leader; a new leader knows index 0 */
/* Set of nodes that acknowledged an entry, indexed by term of the leader and index of the entry. */
byte acked_by[(TERMS + 1) * LENGTH];
byte committed[LENGTH];                  /* entries that were ever committed, by index */
byte commit_term[LENGTH];                /* term in which each was committed */
byte leader_of[TERMS + 1];               /* by term: leader + 1, or 0 */

/* Ends the leadership or candidacy of node n. */
inline step_down(n) {
	if
	:: is_leader[n] ->
		for (j : 0 .. LENGTH - 1) { acked_by[term[n] * LENGTH + j] = 0 }
	:: else
	fi;
	is_leader[n] = false;
	votes[n] = 0;
	commit_index[n] = 0
}

/* Moves node n to term t as a follower. */
inline become_follower(n, t) {
	step_down(n);
	if
	:: term[n] < t -> term[n] = t; voted_for[n] = 0
	:: else
	fi
}

inline count_votes(c) {
	if
	:: DECIDES(votes[c], c) ->
		is_leader[c] = true;
#ifdef REACH
		votes_before = votes[c];
#endif
		votes[c] = 0;
		assert(leader_of[term[c]] == 0 || leader_of[term[c]] == c + 1); /* at most one leader per term */
		leader_of[term[c]] = c + 1;
		for (i : 0 .. LENGTH - 1) {
			/* No committed entry is lost. A leader of an older term that is elected late need not have it. */
			assert(committed[i] == 0 || term[c] <= commit_term[i] || committed[i] == LOG(c, i))
		}
		/* A leader begins with an entry of its own term. */
		if
		:: log_size[c] < LENGTH -> append_entry(c, 0)
		:: else
		fi
#ifdef REACH
		assert(MEMBERS(c) != INITIAL_MEMBERS || BIT_COUNT(votes_before) > 2)
#endif
	:: else
	fi
}

inline start_election(c, known) {
	step_down(c);
	known_lost[c] = known;
	term[c]++;
	voted_for[c] = c + 1;
	votes[c] = BIT(c);
	count_votes(c)
}

inline request_vote(c, v) {
	if
	:: term[v] < term[c] -> become_follower(v, term[c])
	:: else
	fi;
	if
	:: voted_for[v] == 0 && (TERM(LAST_ENTRY(c)) > TERM(LAST_ENTRY(v)) ||
		(TERM(LAST_ENTRY(c)) == TERM(LAST_ENTRY(v)) && log_size[c] >= log_size[v])) ->
		voted_for[v] = c + 1;
		votes[c] = votes[c] | BIT(v);
		count_votes(c)
	:: else
	fi
}

/* Sends follower f the first entry of leader l that it lacks. */
inline replicate_entry(l, f) {
	become_follower(f, term[l]);
	i = 0;
	do
	:: i < log_size[l] && LOG(f, i) == LOG(l, i) -> i++
	:: else -> break
	od;
	if
	:: i < log_size[l] ->
		LOG(f, i) = LOG(l, i);
		log_size[f] = i + 1;
		for (j : i + 1 .. LENGTH - 1) { LOG(f, j) = 0 }
	:: else -> i--
	fi;
	/* Only acknowledgements of entries of the leader's own term are counted. */
	for (j : 0 .. i) {
		if
		:: TERM(LOG(l, j)) == term[l] ->
			acked_by[term[l] * LENGTH + j] = acked_by[term[l] * LENGTH + j] | BIT(f)
		:: else
		fi
	}
}

inline append_entry(l, members) {
	LOG(l, log_size[l]) = ENTRY(term[l], members);
	acked_by[term[l] * LENGTH + log_size[l]] = BIT(l);
	log_size[l]++
}

/* Commits all entries up to index k. */
inline advance_commit(l, k) {
	commit_index[l] = k;
	for (i : 0 .. k) {
		assert(committed[i] == 0 || committed[i] == LOG(l, i));
		if
		:: committed[i] == 0 -> committed[i] = LOG(l, i); commit_term[i] = term[l]
		:: else
		fi
	}
}

#define CAN_COMMIT(l, k) (k < log_size[l] && k > commit_index[l] && TERM(LOG(l, k)) == term[l] && \
	DECIDES(acked_by[term[l] * LENGTH + (k)], l))

#define MEMBERSHIP_COMMITTED(l) (MEMBERSHIP_INDEX(l) <= commit_index[l])
#define OWN_TERM_COMMITTED(l) (TERM(LOG(l, commit_index[l])) == term[l])
#define CAN_CHANGE_MEMBERSHIP(l) (is_leader[l] && log_size[l] < LENGTH && \
	MEMBERSHIP_COMMITTED(l) && OWN_TERM_COMMITTED(l))

inline choose_node(n) {
	if
	:: n = 0
	:: n = 1
	:: n = 2
#if VOTERS == 4
	:: n = 3
#endif
	fi
}

#define HAS_DISK(n) (!(lost & BIT(n)))
#ifdef NOPROOF
#define IS_LOST(n) true
#else
#define IS_LOST(n) (!HAS_DISK(n))
#endif

active proctype system() {
	byte n, m, i, j;
#ifdef REACH
	byte votes_before;
#endif
	d_step {
		for (n : 0 .. VOTERS - 1) {
			term[n] = 1; voted_for[n] = 1; LOG(n, 0) = ENTRY(1, INITIAL_MEMBERS); log_size[n] = 1
		}
		is_leader[0] = true; leader_of[1] = 1; committed[0] = ENTRY(1, INITIAL_MEMBERS); commit_term[0] = 1;
		n = 0
	}
	do
	:: atomic {
		choose_node(n);
		choose_node(m);
		if
		:: d_step { n == m && HAS_DISK(n) && term[n] < TERMS && (ELECTORATE(n) & BIT(n)) ->
			start_election(n, 0); n = 0; m = 0; i = 0; j = 0 }
		/* Knows that m has lost its disk, or that two have. */
		:: d_step { n != m && HAS_DISK(n) && IS_LOST(m) && term[n] < TERMS && (ELECTORATE(n) & BIT(n)) ->
			start_election(n, BIT(m)); n = 0; m = 0; i = 0; j = 0 }
		:: d_step { n == m && HAS_DISK(n) && (lost & (lost - 1)) && term[n] < TERMS && (ELECTORATE(n) & BIT(n)) ->
			start_election(n, lost); n = 0; m = 0; i = 0; j = 0 }
		:: d_step { n != m && HAS_DISK(n) && HAS_DISK(m) && votes[n] && !(votes[n] & BIT(m)) &&
			(ELECTORATE(n) & BIT(m)) && term[m] <= term[n] ->
			request_vote(n, m); n = 0; m = 0; i = 0; j = 0 }
		:: d_step { n != m && HAS_DISK(n) && HAS_DISK(m) && is_leader[n] && term[m] <= term[n] &&
			(ELECTORATE(n) & BIT(m)) ->
			replicate_entry(n, m); n = 0; m = 0; i = 0; j = 0 }
		:: d_step { n == m && HAS_DISK(n) && is_leader[n] && CAN_COMMIT(n, 1) -> advance_commit(n, 1); n = 0; m = 0; i = 0; j = 0 }
		:: d_step { n == m && HAS_DISK(n) && is_leader[n] && CAN_COMMIT(n, 2) -> advance_commit(n, 2); n = 0; m = 0; i = 0; j = 0 }
		/* Removes a voter. */
		:: d_step { n != m && HAS_DISK(n) && CAN_CHANGE_MEMBERSHIP(n) && (MEMBERS(n) & BIT(m)) ->
			append_entry(n, (MEMBERS(n) & ~BIT(m))); n = 0; m = 0; i = 0; j = 0 }
		/* Loses its disk. */
		:: d_step { n == m && HAS_DISK(n) && (BIT(n) & LOSABLE) -> lost = lost | BIT(n); n = 0; m = 0 }
#ifdef LATEPROOF
		:: d_step { n != m && HAS_DISK(n) && IS_LOST(m) && !(known_lost[n] & BIT(m)) ->
			known_lost[n] = known_lost[n] | BIT(m);
			if
			:: votes[n] -> count_votes(n)
			:: else
			fi;
			n = 0; m = 0; i = 0; j = 0 }
#endif
		:: else -> n = 0; m = 0
		fi
	   }
	od
}
