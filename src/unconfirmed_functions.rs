//! The functions that no worker has shown to know, in the order of their registration. Makes no decisions.
use crate::interface::{FunctionId, Time};
use std::collections::VecDeque;

/// A registration of a function. The index may have been reused since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Registration {
    /// The function.
    pub function_id: FunctionId,
    /// Counts the registrations, so that each has its own number.
    pub number: u64,
}

/// Registrations of functions that were unconfirmed when they were added, and the calls to workers about
/// functions that still are.
#[derive(Default)]
pub struct UnconfirmedFunctions {
    registrations: VecDeque<Registration>,
    last_number: u64,
    /// Number of unconfirmed functions with calls whose end is still to come.
    pub with_calls: usize,
    /// Start of the span in which `queries` are counted.
    pub queries_since: Time,
    /// Queries that were sent in the present span.
    pub queries: usize,
}

impl UnconfirmedFunctions {
    /// Adds a function that is registered now, as the latest, and returns the registration's number.
    pub fn add(&mut self, function_id: FunctionId) -> u64 {
        self.last_number += 1;
        self.registrations.push_back(Registration { function_id, number: self.last_number });
        self.last_number
    }

    /// Removes the oldest registration and returns it.
    pub fn pop_oldest(&mut self) -> Option<Registration> {
        self.registrations.pop_front()
    }

    /// Puts a registration behind all others.
    pub fn put_back(&mut self, registration: Registration) {
        self.registrations.push_back(registration);
    }

    /// Number of registrations, of which some may have been confirmed or forgotten.
    pub fn count(&self) -> usize {
        self.registrations.len()
    }
}
