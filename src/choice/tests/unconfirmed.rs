//! Bounds of functions that no worker has shown to know.
use super::help::*;
use super::*;

/// A request of the first class to this function.
fn request_to(function: FunctionId) -> RequestInfo {
    RequestInfo { function, function_hash: function as u64 * 7 + 1, ..request_info(0) }
}

/// Lets a request to this function arrive.
fn call_function(scheduler: &mut TestScheduler, function: FunctionId) -> RequestSlot {
    let slot = scheduler.next_request_slot();
    scheduler.request_arrived(request_to(function));
    slot
}

/// Answers everything that was asked about this function.
fn answer_calls(scheduler: &mut TestScheduler, function: FunctionId, outcome: Outcome) {
    let calls = std::mem::take(&mut scheduler.host.0);
    for call in calls {
        match call {
            Call::Load(asked, worker_id, _) if asked == function => {
                scheduler.load_request_ended(function, worker_id, outcome, 0);
            }
            other => scheduler.host.0.push(other),
        }
    }
}

/// A request to an unknown function that its client withdraws at once.
fn withdrawn_call(scheduler: &mut TestScheduler, function: FunctionId) {
    let slot = call_function(scheduler, function);
    scheduler.client_abandoned(slot);
    answer_calls(scheduler, function, Outcome::Error);
}

fn is_live(scheduler: &TestScheduler, function: FunctionId) -> bool {
    scheduler.functions[function].live
}

// Failure: clients that name functions which no worker knows, and withdraw their requests, take the gateway
// past its memory.
#[test]
fn unknown_functions_are_bounded_and_the_oldest_are_forgotten_first() {
    let mut scheduler = scheduler_with(4, &[]);
    for function in 0..MAX_UNCONFIRMED_FUNCTIONS + 500 {
        withdrawn_call(&mut scheduler, function);
    }
    let counts = scheduler.function_counts();
    assert_eq!((counts.live, counts.unconfirmed), (MAX_UNCONFIRMED_FUNCTIONS, MAX_UNCONFIRMED_FUNCTIONS));
    assert!((0..500).all(|function| !is_live(&scheduler, function)));
    assert!((500..MAX_UNCONFIRMED_FUNCTIONS + 500).all(|function| is_live(&scheduler, function)));
}

// Failure: the bound does not follow from the memory limit.
#[test]
fn less_memory_allows_fewer_unknown_functions_of_more_workers() {
    let mut scheduler = scheduler_with(MAX_PLACEMENTS, &[]);
    scheduler.set_unconfirmed_memory(1 << 20);
    (0..1000).for_each(|function| withdrawn_call(&mut scheduler, function));
    let counts = scheduler.function_counts();
    let bytes = counts.live * FUNCTION_SIZE + counts.placements * std::mem::size_of::<Placement>();
    assert!(bytes <= 1 << 20 && bytes > 1 << 19, "{bytes} bytes");
}

// Failure: an eviction takes a function with it that workers know, with all that was learned about it.
#[test]
fn known_functions_are_not_forgotten_for_unknown_ones() {
    let mut scheduler = scheduler_with(4, &[]);
    let slot = call_function(&mut scheduler, 0);
    answer_calls(&mut scheduler, 0, Outcome::Ok);
    scheduler.client_abandoned(slot);
    scheduler.functions[0].warm_latency = 5.0;
    for function in 1..2 * MAX_UNCONFIRMED_FUNCTIONS {
        withdrawn_call(&mut scheduler, function);
    }
    assert!(scheduler.functions[0].confirmed && scheduler.functions[0].warm_latency == 5.0);
    assert!(!scheduler.host.0.contains(&Call::ForgetFunction(0)));
}

// Failure: an answer that is still to come counts for the next user of the index, or an open request loses its
// function.
#[test]
fn unknown_functions_with_something_pending_are_not_forgotten() {
    let mut scheduler = scheduler_with(4, &[]);
    call_function(&mut scheduler, 0);
    answer_calls(&mut scheduler, 0, Outcome::Error);
    let withdrawn = call_function(&mut scheduler, 1);
    scheduler.client_abandoned(withdrawn);
    let unanswered: Vec<Call> =
        scheduler.host.0.iter().filter(|c| matches!(c, Call::Load(1, _, _))).cloned().collect();
    assert!(!unanswered.is_empty());
    for function in 2..2 * MAX_UNCONFIRMED_FUNCTIONS {
        withdrawn_call(&mut scheduler, function);
    }
    assert!(is_live(&scheduler, 0) && is_live(&scheduler, 1));
    assert!(scheduler.function_counts().live <= MAX_UNCONFIRMED_FUNCTIONS + 2);
    answer_calls(&mut scheduler, 1, Outcome::Error);
    for function in 2 * MAX_UNCONFIRMED_FUNCTIONS..4 * MAX_UNCONFIRMED_FUNCTIONS {
        withdrawn_call(&mut scheduler, function);
    }
    assert!(is_live(&scheduler, 0) && !is_live(&scheduler, 1));
}

/// Number of queries for instances that were sent.
fn query_count(scheduler: &TestScheduler) -> usize {
    scheduler.host.0.iter().filter(|call| matches!(call, Call::Load(_, _, 0))).count()
}

// Failure: each name that a client makes up costs the workers twelve queries.
#[test]
fn queries_about_unknown_functions_are_bounded_in_a_second_and_go_on_in_the_next() {
    let mut scheduler = scheduler_with(QUERIED_WORKERS, &[]);
    let mut queries = 0;
    for function in 0..2 * MAX_UNCONFIRMED_QUERIES / QUERIED_WORKERS {
        let slot = call_function(&mut scheduler, function);
        queries += query_count(&scheduler);
        scheduler.client_abandoned(slot);
        answer_calls(&mut scheduler, function, Outcome::Error);
        scheduler.host.0.clear();
    }
    assert_eq!(queries, MAX_UNCONFIRMED_QUERIES);
    scheduler.advance_clock(NOW + SECOND);
    call_function(&mut scheduler, 10_000);
    assert_eq!(query_count(&scheduler), QUERIED_WORKERS);
}

// Failure: workers that do not answer keep ever more functions from being forgotten, or calls that have ended
// count for ever, so that no new function is loaded.
#[test]
fn unknown_functions_with_calls_are_bounded_and_counted_back() {
    let mut scheduler = scheduler_with(QUERIED_WORKERS, &[]);
    scheduler.set_unconfirmed_memory(1 << 20);
    let max = scheduler.max_unconfirmed_functions();
    for function in 0..4 * max {
        scheduler.advance_clock(scheduler.now + 10);
        let slot = call_function(&mut scheduler, function);
        scheduler.client_abandoned(slot);
    }
    assert_eq!(scheduler.unconfirmed.with_calls, max.div_ceil(2));
    assert_eq!(scheduler.function_counts().live, max);
    for function in 0..4 * max {
        let outcome = if function % 2 == 0 { Outcome::Ok } else { Outcome::TimedOut };
        answer_calls(&mut scheduler, function, outcome);
    }
    let pending = |function: &Function| function.placements.iter().any(|placement| !placement.is_idle());
    assert!(scheduler.function_counts().unconfirmed < max && !scheduler.functions.iter().any(pending));
    assert_eq!(scheduler.unconfirmed.with_calls, 0);
}

/// Checks that the counts of pending calls are those of the placements.
fn assert_counts_match(scheduler: &TestScheduler) {
    let pending = |function: &Function| -> u32 {
        function.placements.iter().map(|placement| placement.pending_loads + placement.pending_queries).sum()
    };
    assert!(scheduler.functions.iter().all(|function| function.pending_calls == pending(function)));
    let with_calls = scheduler.functions.iter().filter(|f| !f.confirmed && f.pending_calls > 0).count();
    assert_eq!(scheduler.unconfirmed.with_calls, with_calls);
}

// Failure: service checks ask about functions too, and their ends take more calls from the count than were added.
#[test]
fn calls_of_service_checks_are_counted_like_others() {
    let outage = [("rules.drain-grace-ms", "1000"), ("allowed.probes", "true")];
    let mut scheduler = scheduler_with(4, &outage);
    scheduler.endpoint_list_confirmed(NOW, NOW);
    scheduler.advance_clock(NOW + SECOND);
    for function in 0..20 {
        call_function(&mut scheduler, function);
        scheduler.advance_clock(scheduler.now + MS);
        assert_counts_match(&scheduler);
    }
    for function in 0..20 {
        let outcome = if function % 2 == 0 { Outcome::TimedOut } else { Outcome::Ok };
        answer_calls(&mut scheduler, function, outcome);
        assert_counts_match(&scheduler);
    }
    assert_eq!(scheduler.unconfirmed.with_calls, 0);
}
