//! Tests of the decisions, by concern as the files of `choice/`. Each test builds the state it needs and calls one
//! method.
mod attempts;
mod endpoint_age;
mod endpoints;
mod help;
mod load_checks;
mod load_requests;
mod outliers;
mod placements;
mod ramp;
mod requests;
mod scaling;
mod selection;
mod settings;
mod shapes;
mod slow_start;
mod sweep;
mod thousands;

use super::*;
