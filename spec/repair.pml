/*
 * Replacement of a voter that lost its disk, in two single-server membership changes, while a second voter
 * fails.
 *
 * Covers R9 (an accepted, that is committed, entry of the replicated log is never lost) and the rule that no term has
 * two leaders.
 *
 * Node OLD lost its disk and rejoins as node SPARE with an empty log. Leaders remove OLD, then add SPARE. With ADDFIRST, OLD
 * stops as planned and SPARE takes its place: leaders may add SPARE first, and remove OLD before or after that.
 * They may also regard any other voter as lost and remove it. The model starts after the first election: node 0 leads
 * term 1, and every log has the committed first entry, the membership of the voters.
 *
 * Abstractions:
 * - A node whose identity is lost never acts again, which equals a node that is never scheduled. So every run includes
 *   the loss of any further voter at any moment, and also an OLD that is only partitioned and comes back.
 * - A request and its handling are one step. A reply is kept and may be used at any later time or never.
 * - Timeouts, pre-vote and check-quorum are left out. A member may start an election at any time, even a leader.
 * - Entries have no content except their term and, if any, the membership. Each leader begins with an entry of its
 *   term.
 * - Compaction is left out.
 *
 * VOTERS is the number of voters at the start:
 * 3 is the current membership. Every node may start elections and every voter may be removed.
 * 4 is the membership of five voters after the removal of OLD is committed. Here node 0 is the second voter that is
 *   lost, and only nodes 0 and 1 start elections, which keeps the search short: nodes 1 to 3 begin in the same state.
 *
 * Switches, each of which removes a rule so that an assertion must fail:
 * ONESTEP    OLD is replaced by SPARE in one membership change
 * OVERLAP    a membership change starts before the previous one is committed
 * NOOWN      a leader changes the membership before an entry of its own term is committed; needs VOTERS=4
 * FRESHVOTES OLD comes back under its identity with an empty disk, and votes
 * LOSTVOTE   a vote is not synced before it is answered, and is lost by a restart
 * ANYLOG     a node votes for a candidate whose log lacks entries that it has
 * REACH      removes no rule; the assertion fails if SPARE becomes a voter and then leads, which shows that the model
 *            is not vacuous
 */

#ifndef VOTERS
#define VOTERS 3
#endif
#ifndef TERMS
#define TERMS 3   /* highest term */
#endif
#ifndef LENGTH
#if VOTERS == 3
#define LENGTH 5  /* maximum length of a log */
#else
#define LENGTH 3
#endif
#endif

#define NODES (VOTERS + 1)
#define SPARE VOTERS
#if VOTERS == 3
#define OLD 2
#define INITIAL_MEMBERS 7
#define REMOVABLE INITIAL_MEMBERS  /* voters that leaders may regard as lost */
#define CANDIDATES 15              /* nodes that start elections */
#else
#define OLD 9                      /* no node: OLD is already removed */
#define INITIAL_MEMBERS 15
#define REMOVABLE BIT(0)
#define CANDIDATES 3
#endif

#define BIT(n) (1 << (n))
#define BIT_COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1) + (((m) >> 4) & 1))
#define MAJORITY(set, members) (2 * BIT_COUNT((set) & (members)) > BIT_COUNT(members))

/* An entry is its term and the membership that it sets, 0 if it sets none. An unused log slot is 0. */
#define ENTRY(t, members) ((t) * 32 + (members))
#define LOG(n, i) log[(n) * LENGTH + (i)]
#define TERM(e) ((e) >> 5)
#define MEMBERSHIP(n, i) (LOG(n, i) & 31)
/* Index of the latest entry of the log that sets the membership. */
#if LENGTH == 5
#define MEMBERSHIP_INDEX(n) (MEMBERSHIP(n, 4) -> 4 : \
	(MEMBERSHIP(n, 3) -> 3 : (MEMBERSHIP(n, 2) -> 2 : (MEMBERSHIP(n, 1) -> 1 : 0))))
#elif LENGTH == 3
#define MEMBERSHIP_INDEX(n) (MEMBERSHIP(n, 2) -> 2 : (MEMBERSHIP(n, 1) -> 1 : 0))
#else
#define MEMBERSHIP_INDEX(n) (MEMBERSHIP(n, 3) -> 3 : (MEMBERSHIP(n, 2) -> 2 : (MEMBERSHIP(n, 1) -> 1 : 0)))
#endif
#define MEMBERS(n) MEMBERSHIP(n, MEMBERSHIP_INDEX(n))
#define LAST_ENTRY(n) LOG(n, log_size[n] - 1)

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
	:: MAJORITY(votes[c], MEMBERS(c)) ->
		is_leader[c] = true;
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
		assert(c != SPARE)
#endif
	:: else
	fi
}

inline start_election(c) {
	step_down(c);
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
#ifdef ANYLOG
	:: voted_for[v] == 0 ->
#else
	:: voted_for[v] == 0 && (TERM(LAST_ENTRY(c)) > TERM(LAST_ENTRY(v)) ||
		(TERM(LAST_ENTRY(c)) == TERM(LAST_ENTRY(v)) && log_size[c] >= log_size[v])) ->
#endif
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
	MAJORITY(acked_by[term[l] * LENGTH + (k)], MEMBERS(l)))

#ifdef OVERLAP
#define MEMBERSHIP_COMMITTED(l) true
#else
#define MEMBERSHIP_COMMITTED(l) (MEMBERSHIP_INDEX(l) <= commit_index[l])
#endif
#ifdef NOOWN
#define OWN_TERM_COMMITTED(l) true
#else
#define OWN_TERM_COMMITTED(l) (TERM(LOG(l, commit_index[l])) == term[l])
#endif
#ifdef ADDFIRST
#define NOT_BESIDE_SPARE 0         /* members beside which SPARE is not added */
#else
#define NOT_BESIDE_SPARE BIT(OLD)
#endif
#define CAN_CHANGE_MEMBERSHIP(l) (is_leader[l] && log_size[l] < LENGTH && \
	MEMBERSHIP_COMMITTED(l) && OWN_TERM_COMMITTED(l))

inline choose_node(n) {
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
			term[n] = 1; voted_for[n] = 1; LOG(n, 0) = ENTRY(1, INITIAL_MEMBERS); log_size[n] = 1
		}
		LOG(SPARE, 0) = ENTRY(1, INITIAL_MEMBERS); log_size[SPARE] = 1;
		is_leader[0] = true; leader_of[1] = 1; committed[0] = ENTRY(1, INITIAL_MEMBERS); commit_term[0] = 1;
		n = 0
	}
	do
	:: atomic {
		choose_node(n);
		choose_node(m);
		if
		:: d_step { n == m && term[n] < TERMS && (MEMBERS(n) & BIT(n) & CANDIDATES) ->
			start_election(n); n = 0; m = 0; i = 0; j = 0 }
		:: d_step { n != m && votes[n] && !(votes[n] & BIT(m)) && (MEMBERS(n) & BIT(m)) &&
			term[m] <= term[n] ->
			request_vote(n, m); n = 0; m = 0; i = 0; j = 0 }
		:: d_step { n != m && is_leader[n] && term[m] <= term[n] && ((MEMBERS(n) & BIT(m)) || m == SPARE) ->
			replicate_entry(n, m); n = 0; m = 0; i = 0; j = 0 }
		:: d_step { n == m && is_leader[n] && CAN_COMMIT(n, 1) -> advance_commit(n, 1); n = 0; m = 0; i = 0; j = 0 }
		:: d_step { n == m && is_leader[n] && CAN_COMMIT(n, 2) -> advance_commit(n, 2); n = 0; m = 0; i = 0; j = 0 }
#if LENGTH >= 4
		:: d_step { n == m && is_leader[n] && CAN_COMMIT(n, 3) -> advance_commit(n, 3); n = 0; m = 0; i = 0; j = 0 }
#endif
#if LENGTH >= 5
		:: d_step { n == m && is_leader[n] && CAN_COMMIT(n, 4) -> advance_commit(n, 4); n = 0; m = 0; i = 0; j = 0 }
#endif
		/* Regards a voter as lost and removes it. */
		:: d_step { n != m && CAN_CHANGE_MEMBERSHIP(n) && (MEMBERS(n) & BIT(m) & REMOVABLE) ->
			append_entry(n, (MEMBERS(n) & ~BIT(m))); n = 0; m = 0; i = 0; j = 0 }
		/* Adds SPARE, after OLD is removed unless ADDFIRST is set. */
		:: d_step { m == SPARE && CAN_CHANGE_MEMBERSHIP(n) && !(MEMBERS(n) & (NOT_BESIDE_SPARE | BIT(SPARE))) ->
			append_entry(n, (MEMBERS(n) | BIT(SPARE))); n = 0; m = 0; i = 0; j = 0 }
#ifdef ONESTEP
		:: d_step { m == SPARE && CAN_CHANGE_MEMBERSHIP(n) && n != OLD && (MEMBERS(n) & BIT(OLD)) &&
			!(MEMBERS(n) & BIT(SPARE)) ->
			append_entry(n, ((MEMBERS(n) | BIT(SPARE)) & ~BIT(OLD))); n = 0; m = 0; i = 0; j = 0 }
#endif
#ifdef FRESHVOTES
		:: d_step { n == OLD && m == OLD && !wiped ->
			wiped = true; step_down(OLD); term[OLD] = 0; voted_for[OLD] = 0; log_size[OLD] = 1;
			for (j : 1 .. LENGTH - 1) { LOG(OLD, j) = 0 }
			n = 0; m = 0; i = 0; j = 0 }
#endif
#ifdef LOSTVOTE
		:: d_step { n == m && voted_for[n] -> step_down(n); voted_for[n] = 0; n = 0; m = 0; i = 0; j = 0 }
#endif
		:: else -> n = 0; m = 0
		fi
	   }
	od
}
