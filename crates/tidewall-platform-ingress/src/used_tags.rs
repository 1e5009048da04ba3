//! The tags that were used on a connection, in bounded memory.

/// Maximum number of ranges that are remembered. A client that takes its tags from one counter has
/// about as many gaps as threads; one that draws them at random has a range for each.
const MAX_RANGES: usize = 64;

/// Consecutive used tags.
#[derive(Clone, Copy, Debug)]
struct TagRange {
    first: u64,
    last: u64,
    /// Number of the insertion that changed the range last.
    changed: u64,
}

/// The tags that were used on a connection. Tags in any order are accepted; consecutive ones take the
/// space of one. Where too many ranges would be needed, the one that has not changed for longest is
/// forgotten, so that a new tag is never taken for a used one.
#[derive(Debug, Default)]
pub(crate) struct UsedTags {
    /// Sorted, with at least one unused tag between any two.
    ranges: Vec<TagRange>,
    insertions: u64,
}

impl UsedTags {
    /// Adds a tag. Returns false if it is known to have been used.
    pub(crate) fn insert(&mut self, tag: u64) -> bool {
        let next = self.ranges.partition_point(|range| range.first <= tag);
        let previous = next.checked_sub(1);
        if previous.is_some_and(|previous| tag <= self.ranges[previous].last) {
            return false;
        }
        self.insertions += 1;
        let changed = self.insertions;
        let extends_previous = previous.filter(|previous| self.ranges[*previous].last + 1 == tag);
        let extends_next = self
            .ranges
            .get(next)
            .is_some_and(|range| range.first - 1 == tag);
        match (extends_previous, extends_next) {
            (Some(previous), true) => {
                self.ranges[previous].last = self.ranges[next].last;
                self.ranges[previous].changed = changed;
                self.ranges.remove(next);
            }
            (Some(previous), false) => {
                self.ranges[previous].last = tag;
                self.ranges[previous].changed = changed;
            }
            (None, true) => {
                self.ranges[next].first = tag;
                self.ranges[next].changed = changed;
            }
            (None, false) => self.insert_range(next, tag),
        }
        true
    }

    fn insert_range(&mut self, position: usize, tag: u64) {
        let changed = self.insertions;
        let range = TagRange {
            first: tag,
            last: tag,
            changed,
        };
        self.ranges.insert(position, range);
        if self.ranges.len() > MAX_RANGES {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = (0..self.ranges.len()).min_by_key(|index| self.ranges[*index].changed);
        if let Some(oldest) = oldest {
            self.ranges.remove(oldest);
        }
    }
}

#[cfg(test)]
mod tests;
