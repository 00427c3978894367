//! Messages between the system's own processes.
//!
//! Each message is a prost structure of its own. Domain types are made from
//! them with `TryFrom`, which checks every field.

mod loans;
pub(crate) mod peer;
mod store;

pub use loans::LoanMessageError;
pub use store::{StoreEvent, StorePull, StoreUpdate};

/// One frame on a link: a request, its reply or a one-way message.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Number that the requesting side chose; a reply repeats it. 0 marks a
    /// one-way message.
    #[prost(uint64, tag = "1")]
    pub call_id: u64,
    /// The content.
    #[prost(
        oneof = "Body",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20"
    )]
    pub body: Option<Body>,
}

/// Content of a [`Frame`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Entry to its agent: asks for the feed.
    #[prost(message, tag = "2")]
    FeedRequest(FeedRequest),
    /// Agent to its entry.
    #[prost(message, tag = "3")]
    Feed(Feed),
    /// Entry to its agent.
    #[prost(message, tag = "4")]
    EntryReport(EntryReport),
    /// Agent to agent: asks for newer state.
    #[prost(message, tag = "5")]
    Pull(Pull),
    /// Answer to [`Pull`].
    #[prost(message, tag = "6")]
    PullReply(PullReply),
    /// Asks an agent what it and its entry hold.
    #[prost(message, tag = "7")]
    StatusRequest(StatusRequest),
    /// Answer to [`StatusRequest`].
    #[prost(message, tag = "8")]
    StatusReply(StatusReply),
    /// Entry to entry: asks for a loan of rate and burst.
    #[prost(message, tag = "9")]
    Borrow(Borrow),
    /// Answer to [`Borrow`].
    #[prost(message, tag = "10")]
    Loan(LoanMessage),
    /// Entry to entry: asks the lender to extend a loan.
    #[prost(message, tag = "11")]
    RenewLoan(RenewLoan),
    /// Answer to [`RenewLoan`].
    #[prost(message, tag = "12")]
    LoanRenewed(LoanRenewed),
    /// Entry to entry: gives a loan back.
    #[prost(message, tag = "13")]
    ReturnLoan(ReturnLoan),
    /// Entry to entry: asks a slot book for a slot.
    #[prost(message, tag = "14")]
    Acquire(Acquire),
    /// Answer to [`Acquire`] and [`RenewPermit`].
    #[prost(message, tag = "15")]
    Permit(Permit),
    /// Answer to [`Acquire`] and [`RenewPermit`].
    #[prost(message, tag = "16")]
    Denied(Denied),
    /// Entry to entry: extends a permit.
    #[prost(message, tag = "17")]
    RenewPermit(RenewPermit),
    /// Entry to entry: frees a slot.
    #[prost(message, tag = "18")]
    Release(Release),
    /// Node to node: asks for newer objects of the store.
    #[prost(message, tag = "19")]
    StorePull(StorePull),
    /// Answer to [`StorePull`].
    #[prost(message, tag = "20")]
    StoreUpdate(StoreUpdate),
}

/// Asks an agent for the feed of its VM.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FeedRequest {
    /// Revision that the entry already holds.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The next page of a delta that the entry holds in part.
    #[prost(message, optional, tag = "2")]
    pub resume: Option<Resume>,
}

/// Asks for the next page of a delta.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Resume {
    /// Revision that the delta starts from.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Revision that the delta leads to.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// Objects of the delta that have arrived.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
}

/// One object of the platform as it is passed on; no value marks a removal.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Object {
    /// Name in the platform's object API.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Revision of the last change to this object.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Content.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub value: Option<bytes::Bytes>,
}

/// A change of state from one revision to a later one, or one page of it. The
/// receiver holds revision `to` only once it has every page.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Delta {
    /// Revision that the receiver must hold, unless this is a snapshot.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Revision after the change.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// Changed objects, or all objects in a full snapshot.
    #[prost(message, repeated, tag = "3")]
    pub objects: Vec<Object>,
    /// The objects are all that exist at `to`, so others are removed.
    #[prost(bool, tag = "4")]
    pub snapshot: bool,
    /// Objects of the delta that come before those of this page.
    #[prost(uint64, tag = "5")]
    pub offset: u64,
    /// Objects of all pages together.
    #[prost(uint64, tag = "6")]
    pub total: u64,
}

/// State from the agent to the entry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Feed {
    /// Change since the last feed, if there is one.
    #[prost(message, optional, tag = "1")]
    pub delta: Option<Delta>,
    /// How long the state may be relied on, in milliseconds from the arrival
    /// of the `FeedRequest`; 0 when the VM is isolated. Absent while the agent knows
    /// too little to judge, as after a restart.
    #[prost(uint32, optional, tag = "2")]
    pub valid_ms: Option<u32>,
    /// Revision that the agent holds, and that `valid_ms` is about.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

/// State from the entry to its agent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EntryReport {
    /// Revision in force in the entry.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Version of the share table that is in effect in every ledger; absent
    /// while a ledger still holds more than the table gives it.
    #[prost(uint64, optional, tag = "2")]
    pub share_table_version: Option<u64>,
    /// Version of the configuration in force.
    #[prost(uint64, tag = "3")]
    pub config_version: u64,
}

/// Asks a peer agent for newer state.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pull {
    /// Name of the asking VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Revision that the asking agent holds.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The next page of a delta that the asking agent holds in part.
    #[prost(message, optional, tag = "3")]
    pub resume: Option<Resume>,
    /// A delta of more than one page is not wanted, because another one is on
    /// its way to the asking agent.
    #[prost(bool, tag = "4")]
    pub one_page_only: bool,
    /// Region of the asking VM.
    #[prost(string, tag = "5")]
    pub region: String,
    /// Failure domain of the asking VM.
    #[prost(string, tag = "6")]
    pub failure_domain: String,
    /// The reply needs only the evidence with the newest confirmation.
    #[prost(bool, tag = "8")]
    pub newest_confirmation_only: bool,
}

/// Newest evidence from one region. Ages count back from sending.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RegionEvidence {
    /// Region name.
    #[prost(string, tag = "1")]
    pub region: String,
    /// Age of the newest confirmation by the store, in milliseconds.
    #[prost(uint32, optional, tag = "2")]
    pub confirmed_age_ms: Option<u32>,
    /// Age of the newest word from any agent of the region, in milliseconds.
    #[prost(uint32, optional, tag = "3")]
    pub received_age_ms: Option<u32>,
    /// Newest revision known in the region.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
    /// Revision that the store confirmed.
    #[prost(uint64, tag = "5")]
    pub confirmed_revision: u64,
    /// Age of the newest answer of the store, whatever its revision, in
    /// milliseconds.
    #[prost(uint32, optional, tag = "6")]
    pub store_answered_age_ms: Option<u32>,
}

/// Answer to [`Pull`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct PullReply {
    /// Change since the revision of the request, if there is one.
    #[prost(message, optional, tag = "1")]
    pub delta: Option<Delta>,
    /// Evidence held by the answering agent.
    #[prost(message, repeated, tag = "2")]
    pub regions: Vec<RegionEvidence>,
    /// Revision that the answering agent holds.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

/// Asks an agent for its status.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusRequest {}

/// Status of one VM.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusReply {
    /// Name of the VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Revision that the agent holds.
    #[prost(uint64, tag = "2")]
    pub agent_revision: u64,
    /// Last report of the entry, if it is connected.
    #[prost(message, optional, tag = "3")]
    pub entry: Option<EntryReport>,
    /// Traffic of the agent's links.
    #[prost(message, optional, tag = "4")]
    pub traffic: Option<LinkTraffic>,
}

/// Frames and bytes of all links of a process since it started, without TCP
/// and IP headers.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct LinkTraffic {
    /// Frames received.
    #[prost(uint64, tag = "1")]
    pub frames_in: u64,
    /// Bytes received.
    #[prost(uint64, tag = "2")]
    pub bytes_in: u64,
    /// Frames sent.
    #[prost(uint64, tag = "3")]
    pub frames_out: u64,
    /// Bytes sent.
    #[prost(uint64, tag = "4")]
    pub bytes_out: u64,
}

/// Asks for a loan of a team's rate and burst.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Borrow {
    /// Team name.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Names the ask; its VM is the borrower.
    #[prost(message, optional, tag = "2")]
    pub request: Option<ScopedId>,
    /// Wanted rate, in requests per second.
    #[prost(double, tag = "3")]
    pub rate: f64,
    /// Wanted burst, in requests.
    #[prost(double, tag = "4")]
    pub burst: f64,
    /// Wanted tokens, in requests; at most the burst.
    #[prost(double, tag = "5")]
    pub tokens: f64,
}

/// Answer to [`Borrow`]: a parcel that moves for the length of a lease.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanMessage {
    /// Names the loan; its VM is the lender. Nothing was lent when absent.
    #[prost(message, optional, tag = "1")]
    pub id: Option<ScopedId>,
    /// Rate part, in requests per second.
    #[prost(double, tag = "2")]
    pub rate: f64,
    /// Burst part, in requests.
    #[prost(double, tag = "3")]
    pub burst: f64,
    /// Tokens, in requests; at most the burst part.
    #[prost(double, tag = "4")]
    pub tokens: f64,
}

/// Asks the lender to extend a loan.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RenewLoan {
    /// Team name.
    #[prost(string, tag = "1")]
    pub team: String,
    /// The loan.
    #[prost(message, optional, tag = "2")]
    pub loan: Option<ScopedId>,
    /// Counts the renewals of the loan.
    #[prost(uint64, tag = "3")]
    pub number: u64,
}

/// Answer to [`RenewLoan`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanRenewed {
    /// The loan runs for another lease.
    #[prost(bool, tag = "1")]
    pub extended: bool,
}

/// Gives a loan back before its lease ends.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReturnLoan {
    /// Team name.
    #[prost(string, tag = "1")]
    pub team: String,
    /// The loan.
    #[prost(message, optional, tag = "2")]
    pub loan: Option<ScopedId>,
    /// Unspent tokens, in requests.
    #[prost(double, tag = "3")]
    pub tokens: f64,
}

/// A number that one incarnation of a VM's process gave out.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ScopedId {
    /// Name of the VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Incarnation of the process.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Counts within the incarnation.
    #[prost(uint64, tag = "3")]
    pub number: u64,
}

/// Asks the owner of a slot book for a slot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Acquire {
    /// Service name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Region whose slots are asked for.
    #[prost(string, tag = "2")]
    pub region: String,
    /// Team of the request.
    #[prost(string, tag = "3")]
    pub team: String,
    /// Name of the asking VM.
    #[prost(string, tag = "4")]
    pub vm: String,
    /// Time left to the caller's deadline, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub deadline_ms: u32,
    /// The asking VM is in another region.
    #[prost(bool, tag = "6")]
    pub remote: bool,
    /// Endpoints that already refused this request.
    #[prost(string, repeated, tag = "7")]
    pub avoid: Vec<String>,
    /// Ends the rest of endpoints that had a fault: no region has another one.
    #[prost(bool, tag = "8")]
    pub use_ejected: bool,
}

/// The right to run one request on an endpoint.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Permit {
    /// The permit.
    #[prost(message, optional, tag = "1")]
    pub permit: Option<PermitId>,
    /// Address of the endpoint.
    #[prost(string, tag = "2")]
    pub endpoint: String,
}

/// A permit of one incarnation of a slot book.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct PermitId {
    /// Incarnation of the slot book.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Counts within the incarnation.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// A refusal of a slot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Denied {
    /// Why no slot was given.
    #[prost(enumeration = "DeniedCause", tag = "1")]
    pub cause: i32,
}

/// Why no slot was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum DeniedCause {
    /// No cause was named.
    Unspecified = 0,
    /// No slot would be free before the deadline.
    Busy = 1,
    /// The VM asked does not own the slot book.
    NotOwner = 2,
    /// The service, region or permit is not known here.
    Unknown = 3,
    /// The region has no endpoint that takes work.
    NoEndpoint = 4,
}

/// Extends a permit. A slot book that does not know the permit counts the
/// request anew, so that a book rebuilt elsewhere sees what runs.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RenewPermit {
    /// Service name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Region name.
    #[prost(string, tag = "2")]
    pub region: String,
    /// The permit.
    #[prost(message, optional, tag = "3")]
    pub permit: Option<PermitId>,
    /// Address of the endpoint.
    #[prost(string, tag = "4")]
    pub endpoint: String,
}

/// Frees a slot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Release {
    /// Service name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Region name.
    #[prost(string, tag = "2")]
    pub region: String,
    /// The permit.
    #[prost(message, optional, tag = "3")]
    pub permit: Option<PermitId>,
    /// Why the endpoint did not run the request.
    #[prost(enumeration = "EndpointFault", tag = "4")]
    pub fault: i32,
}

/// Why an endpoint did not run a request that it had a slot for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum EndpointFault {
    /// It ran the request, or the request was not sent.
    None = 0,
    /// It refused because all of its slots were busy.
    Shed = 1,
    /// It refused because it is draining.
    Draining = 2,
    /// No connection could be made.
    Unreachable = 3,
}
