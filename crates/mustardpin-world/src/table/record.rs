//! Records of non-repeatable requests: what has run, what is running, and the answers.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use rapidhash::fast::RandomState;
use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::{
    clock::Millis,
    id::{CallKey, NodeId, RecordKey},
    message::record::{self, Entry, Name},
    request::{Answer, Fingerprint},
};

/// How far the request has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum State {
    /// Its place is taken; nothing has been sent to a target.
    Reserved,
    /// It may have begun to run.
    Started,
    /// It has run; the answer is missing if it was too large or had to make room.
    Ended(Option<Arc<Answer>>),
}

/// What is known of a non-repeatable request.
#[derive(Debug, Clone)]
pub struct Record {
    /// Which request.
    pub name: Name,
    /// The digest of the request.
    pub fingerprint: Fingerprint,
    /// The node that runs it.
    pub runner: NodeId,
    /// The runner's serial number for it.
    pub serial: u64,
    /// How far it has come.
    pub state: State,
    /// Since when.
    pub since: Millis,
    /// The call in progress at this node, if it is the runner.
    pub call: Option<CallKey>,
    /// The epoch in which the mirror acknowledged it; zero if none has.
    pub mirrored: u64,
    /// Who has acknowledged the end of the run.
    pub settled: SmallVec<[NodeId; 2]>,
}

impl Record {
    /// The record as it travels.
    pub fn entry(&self, now: Millis) -> Entry {
        let state = match &self.state {
            State::Reserved | State::Started => record::State::Started,
            State::Ended(answer) => record::State::Ended(answer.clone()),
        };
        Entry {
            name: self.name,
            fingerprint: self.fingerprint,
            runner: self.runner,
            serial: self.serial,
            state,
            age: now - self.since,
        }
    }

    /// The bytes of the recorded answer.
    pub fn answer_bytes(&self) -> usize {
        match &self.state {
            State::Ended(Some(answer)) => answer_bytes(answer),
            _ => 0,
        }
    }
}

/// The bytes of an answer: its headers and its body.
///
/// ```
/// use mustardpin_world::{request::Answer, table::record::answer_bytes};
/// let answer = Answer { status: 200, headers: vec![("a".into(), vec![1])], body: vec![0; 8] };
/// assert_eq!(answer_bytes(&answer), 10);
/// ```
pub fn answer_bytes(answer: &Answer) -> usize {
    let headers: usize = answer.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
    headers + answer.body.len()
}

/// The table of records.
#[derive(Debug, Default)]
pub struct Records {
    rows: SlotMap<RecordKey, Record>,
    by_name: HashMap<Name, RecordKey, RandomState>,
    /// Records with an answer, the oldest at the front. Some may have lost it in the meantime.
    answered: VecDeque<RecordKey>,
    answer_bytes: usize,
}

impl Records {
    /// Adds a record, in place of one of the same name.
    pub fn insert(&mut self, record: Record) -> RecordKey {
        if let Some(key) = self.by_name(record.name) {
            self.remove(key);
        }
        let name = record.name;
        self.answer_bytes += record.answer_bytes();
        let answered = record.answer_bytes() > 0;
        let key = self.rows.insert(record);
        self.by_name.insert(name, key);
        if answered {
            self.answered.push_back(key);
        }
        key
    }

    /// The record with this key.
    pub fn get(&self, key: RecordKey) -> Option<&Record> {
        self.rows.get(key)
    }

    /// The record with this key. Its state is changed by [`Records::set_state`].
    pub fn get_mut(&mut self, key: RecordKey) -> Option<&mut Record> {
        self.rows.get_mut(key)
    }

    /// The key of the record with this name.
    pub fn by_name(&self, name: Name) -> Option<RecordKey> {
        self.by_name.get(&name).copied()
    }

    /// Moves a record to another state.
    pub fn set_state(&mut self, key: RecordKey, state: State, now: Millis) {
        let Some(record) = self.rows.get_mut(key) else { return };
        self.answer_bytes -= record.answer_bytes();
        record.state = state;
        record.since = now;
        self.answer_bytes += record.answer_bytes();
        if record.answer_bytes() > 0 {
            self.answered.push_back(key);
        }
    }

    /// Drops the oldest answers until the rest fit into a number of bytes. The records stay.
    pub fn trim_answers(&mut self, limit: usize) {
        while self.answer_bytes > limit {
            let Some(key) = self.answered.pop_front() else { return };
            let Some(record) = self.rows.get_mut(key) else { continue };
            self.answer_bytes -= record.answer_bytes();
            if matches!(record.state, State::Ended(_)) {
                record.state = State::Ended(None);
            }
        }
    }

    /// Removes a record.
    pub fn remove(&mut self, key: RecordKey) -> Option<Record> {
        let record = self.rows.remove(key)?;
        self.answer_bytes -= record.answer_bytes();
        self.by_name.remove(&record.name);
        Some(record)
    }

    /// Keeps the records for which a condition holds.
    pub fn retain(&mut self, mut condition: impl FnMut(&Record) -> bool) {
        let gone: Vec<RecordKey> =
            self.rows.iter().filter(|(_, record)| !condition(record)).map(|(key, _)| key).collect();
        for key in gone {
            self.remove(key);
        }
        let rows = &self.rows;
        self.answered.retain(|&key| rows.contains_key(key));
    }

    /// All records.
    pub fn iter(&self) -> impl Iterator<Item = (RecordKey, &Record)> {
        self.rows.iter()
    }

    /// How many records there are.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The bytes of all recorded answers.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }
}
