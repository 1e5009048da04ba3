//! Tests of the scheduler, one file per concern as in `choice/`. Most tests build the state they need and
//! call one method.
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
mod unconfirmed;

use super::*;
