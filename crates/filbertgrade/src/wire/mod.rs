//! Messages between the processes of the system: entries, agents and nodes.
//!
//! Each message is a separate prost structure. Domain types are converted from
//! messages with `TryFrom`, which validates every field.

mod loans;
pub(crate) mod peer;
mod store;

pub use loans::LoanMessageError;
pub use store::{StoreEvent, StorePull, StoreUpdate};

/// One frame on a link: a request, its reply or a one-way message.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Number that the requesting side assigned to the call; the reply repeats
    /// it. 0 marks a one-way message, which has no reply.
    #[prost(uint64, tag = "1")]
    pub call_id: u64,
    /// Message that the frame holds. `None` when the sender uses a message
    /// type that this version does not know.
    #[prost(
        oneof = "Body",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20"
    )]
    pub body: Option<Body>,
}

/// Message in a [`Frame`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Entry to its agent: requests newer state.
    #[prost(message, tag = "2")]
    FeedRequest(FeedRequest),
    /// Agent to its entry: reply to [`FeedRequest`].
    #[prost(message, tag = "3")]
    Feed(Feed),
    /// Entry to its agent, one-way: what is in force in the entry.
    #[prost(message, tag = "4")]
    EntryReport(EntryReport),
    /// Agent to agent: requests newer state.
    #[prost(message, tag = "5")]
    PullRequest(PullRequest),
    /// Reply to [`PullRequest`].
    #[prost(message, tag = "6")]
    PullReply(PullReply),
    /// To an agent: requests the state of the agent and its entry.
    #[prost(message, tag = "7")]
    StatusRequest(StatusRequest),
    /// Reply to [`StatusRequest`].
    #[prost(message, tag = "8")]
    StatusReply(StatusReply),
    /// Entry to entry: requests a loan of rate, burst and tokens.
    #[prost(message, tag = "9")]
    RequestLoan(RequestLoan),
    /// Reply to [`RequestLoan`].
    #[prost(message, tag = "10")]
    Loan(LoanMessage),
    /// Entry to entry: requests that the lender extend a loan.
    #[prost(message, tag = "11")]
    RenewLoan(RenewLoan),
    /// Reply to [`RenewLoan`].
    #[prost(message, tag = "12")]
    LoanRenewed(LoanRenewed),
    /// Entry to entry, one-way: returns a loan.
    #[prost(message, tag = "13")]
    ReturnLoan(ReturnLoan),
    /// Entry to entry: requests a slot from the owner of a slot pool.
    #[prost(message, tag = "14")]
    AcquireSlot(AcquireSlot),
    /// Reply to [`AcquireSlot`] and [`RenewPermit`] that grants the slot.
    #[prost(message, tag = "15")]
    Permit(Permit),
    /// Reply to [`AcquireSlot`] and [`RenewPermit`] that denies the slot.
    #[prost(message, tag = "16")]
    SlotDenied(SlotDenied),
    /// Entry to entry: extends a permit.
    #[prost(message, tag = "17")]
    RenewPermit(RenewPermit),
    /// Entry to entry, one-way: frees a slot.
    #[prost(message, tag = "18")]
    ReleaseSlot(ReleaseSlot),
    /// Node to node: requests newer objects of the store.
    #[prost(message, tag = "19")]
    StorePull(StorePull),
    /// Reply to [`StorePull`].
    #[prost(message, tag = "20")]
    StoreUpdate(StoreUpdate),
}

/// Request from an entry to its agent for newer state and its validity.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FeedRequest {
    /// Revision that the entry already holds.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Where to continue a delta of which the entry has received some pages.
    #[prost(message, optional, tag = "2")]
    pub resume: Option<Resume>,
}

/// Position in a delta from which the next page is requested.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Resume {
    /// Revision before the delta.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Revision after the delta.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// Number of objects of the delta that the receiver already holds.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
}

/// One object of the platform's object API.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Object {
    /// Name in the platform's object API.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Revision of the last change to this object.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Content; `None` when the object was removed.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub value: Option<bytes::Bytes>,
}

/// One page of the changes between two revisions. The receiver is at revision
/// `to` only after it has received every page.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Delta {
    /// Revision that the receiver must be at, unless this is a snapshot.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Revision after the changes of all pages.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// Objects of this page: those that changed, or in a snapshot those that
    /// exist.
    #[prost(message, repeated, tag = "3")]
    pub objects: Vec<Object>,
    /// Whether the pages together hold every object that exists at `to`. The
    /// receiver then removes all others.
    #[prost(bool, tag = "4")]
    pub snapshot: bool,
    /// Number of objects in the preceding pages.
    #[prost(uint64, tag = "5")]
    pub offset: u64,
    /// Number of objects in all pages together.
    #[prost(uint64, tag = "6")]
    pub total: u64,
}

/// State that an agent sends to its entry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Feed {
    /// Changes after the revision of the request; `None` when there are none.
    #[prost(message, optional, tag = "1")]
    pub delta: Option<Delta>,
    /// How long the state is valid, in milliseconds from the arrival of the
    /// `FeedRequest`; 0 when the VM is isolated. `None` while the agent has too
    /// little evidence to decide, for example after a restart.
    #[prost(uint32, optional, tag = "2")]
    pub valid_ms: Option<u32>,
    /// Revision that the agent holds and that `valid_ms` applies to.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

/// Report from an entry to its agent on what is in force.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EntryReport {
    /// Revision in force in the entry.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Version of the share table that is in effect in every ledger; `None`
    /// while a ledger still holds more than the table assigns to it.
    #[prost(uint64, optional, tag = "2")]
    pub share_table_version: Option<u64>,
    /// Version of the configuration in force.
    #[prost(uint64, tag = "3")]
    pub config_version: u64,
}

/// Request to a peer agent for newer state.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PullRequest {
    /// Name of the requesting VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Revision that the requesting agent holds.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Where to continue a delta of which the requesting agent has received
    /// some pages.
    #[prost(message, optional, tag = "3")]
    pub resume: Option<Resume>,
    /// Whether a delta of more than one page is to be omitted, because the
    /// requesting agent is already receiving such a delta from another peer.
    #[prost(bool, tag = "4")]
    pub one_page_only: bool,
    /// Region of the requesting VM.
    #[prost(string, tag = "5")]
    pub region: String,
    /// Failure domain of the requesting VM.
    #[prost(string, tag = "6")]
    pub failure_domain: String,
    /// Whether the reply needs only the evidence of the region with the newest
    /// confirmation, instead of the evidence of all regions.
    #[prost(bool, tag = "8")]
    pub newest_confirmation_only: bool,
}

/// Newest evidence from one region. Ages are measured when the message is
/// sent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RegionEvidence {
    /// Region name.
    #[prost(string, tag = "1")]
    pub region: String,
    /// Age of the newest confirmation by the store that any agent of the region
    /// obtained, in milliseconds.
    #[prost(uint32, optional, tag = "2")]
    pub confirmed_age_ms: Option<u32>,
    /// Age of the newest message from any agent of the region, in milliseconds.
    #[prost(uint32, optional, tag = "3")]
    pub received_age_ms: Option<u32>,
    /// Newest revision that is known in the region.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
    /// Revision that the newest confirmation is for; 0 when there is none.
    #[prost(uint64, tag = "5")]
    pub confirmed_revision: u64,
    /// Age of the newest response of the store for any revision, in
    /// milliseconds.
    #[prost(uint32, optional, tag = "6")]
    pub store_responded_age_ms: Option<u32>,
}

/// Reply to [`PullRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct PullReply {
    /// Changes after the revision of the request; `None` when there are none.
    #[prost(message, optional, tag = "1")]
    pub delta: Option<Delta>,
    /// Evidence that the replying agent holds.
    #[prost(message, repeated, tag = "2")]
    pub regions: Vec<RegionEvidence>,
    /// Revision that the replying agent holds.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

/// Request to an agent for its status.
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
    /// Last report of the entry; `None` when it has not reported recently.
    #[prost(message, optional, tag = "3")]
    pub entry: Option<EntryReport>,
    /// Traffic on the links of the agent's process.
    #[prost(message, optional, tag = "4")]
    pub traffic: Option<LinkTraffic>,
}

/// Frames and bytes on all links of a process since it started, excluding TCP
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

/// Request for a loan from a team's rate and burst.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RequestLoan {
    /// Team name.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Id of the request; its VM is the borrower.
    #[prost(message, optional, tag = "2")]
    pub request: Option<ScopedId>,
    /// Requested rate, in requests per second.
    #[prost(double, tag = "3")]
    pub rate: f64,
    /// Requested burst, in requests.
    #[prost(double, tag = "4")]
    pub burst: f64,
    /// Requested tokens, in requests; at most the burst.
    #[prost(double, tag = "5")]
    pub tokens: f64,
}

/// Reply to [`RequestLoan`]: the share that the borrower may use until the lease
/// of the loan ends.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanMessage {
    /// Id of the loan; its VM is the lender. `None` when nothing was lent.
    #[prost(message, optional, tag = "1")]
    pub id: Option<ScopedId>,
    /// Lent rate, in requests per second.
    #[prost(double, tag = "2")]
    pub rate: f64,
    /// Lent burst, in requests.
    #[prost(double, tag = "3")]
    pub burst: f64,
    /// Lent tokens, in requests; at most the lent burst.
    #[prost(double, tag = "4")]
    pub tokens: f64,
}

/// Request to the lender to extend a loan.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RenewLoan {
    /// Team name.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Id of the loan.
    #[prost(message, optional, tag = "2")]
    pub loan: Option<ScopedId>,
    /// Number of this renewal, counted per loan.
    #[prost(uint64, tag = "3")]
    pub number: u64,
}

/// Reply to [`RenewLoan`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanRenewed {
    /// Whether the loan was extended by another lease.
    #[prost(bool, tag = "1")]
    pub extended: bool,
}

/// Returns a loan before its lease ends.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReturnLoan {
    /// Team name.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Id of the loan.
    #[prost(message, optional, tag = "2")]
    pub loan: Option<ScopedId>,
    /// Unspent tokens, in requests.
    #[prost(double, tag = "3")]
    pub tokens: f64,
}

/// Id of a loan or a loan request. It is unique because it names the VM and the
/// incarnation of the process that assigned the number.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ScopedId {
    /// Name of the VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Incarnation of the process.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Number within the incarnation.
    #[prost(uint64, tag = "3")]
    pub number: u64,
}

/// Request to the owner of a slot pool for a slot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AcquireSlot {
    /// Service name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Region whose slots are requested.
    #[prost(string, tag = "2")]
    pub region: String,
    /// Team that sent the request.
    #[prost(string, tag = "3")]
    pub team: String,
    /// Name of the requesting VM.
    #[prost(string, tag = "4")]
    pub vm: String,
    /// Time left until the caller's deadline, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub deadline_ms: u32,
    /// Whether the requesting VM is in another region.
    #[prost(bool, tag = "6")]
    pub remote: bool,
    /// Addresses of endpoints that already refused this request.
    #[prost(string, repeated, tag = "7")]
    pub avoid: Vec<String>,
    /// Whether endpoints that are ejected after a fault are used again, because
    /// no region has another endpoint.
    #[prost(bool, tag = "8")]
    pub use_ejected: bool,
}

/// The right to run one request on an endpoint.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Permit {
    /// Id of the permit.
    #[prost(message, optional, tag = "1")]
    pub permit: Option<PermitId>,
    /// Address of the endpoint.
    #[prost(string, tag = "2")]
    pub endpoint: String,
}

/// Id of a permit, unique within one incarnation of a slot pool.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct PermitId {
    /// Incarnation of the slot pool.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Number within the incarnation.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// Reply that denies a slot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SlotDenied {
    /// Why no slot was granted.
    #[prost(enumeration = "DeniedCause", tag = "1")]
    pub cause: i32,
}

/// Why no slot was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum DeniedCause {
    /// The sender stated no cause.
    Unspecified = 0,
    /// No slot was expected to be free before the deadline.
    Busy = 1,
    /// The VM that received the request does not own the slot pool.
    NotOwner = 2,
    /// The receiver does not know the service, region or permit.
    Unknown = 3,
    /// The region has no endpoint that accepts requests.
    NoEndpoint = 4,
}

/// Extends a permit. A slot pool that does not know the permit counts the
/// request as new, so that a pool rebuilt on another VM includes the requests
/// that are already running.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RenewPermit {
    /// Service name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Region name.
    #[prost(string, tag = "2")]
    pub region: String,
    /// Id of the permit.
    #[prost(message, optional, tag = "3")]
    pub permit: Option<PermitId>,
    /// Address of the endpoint.
    #[prost(string, tag = "4")]
    pub endpoint: String,
}

/// Frees a slot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReleaseSlot {
    /// Service name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Region name.
    #[prost(string, tag = "2")]
    pub region: String,
    /// Id of the permit.
    #[prost(message, optional, tag = "3")]
    pub permit: Option<PermitId>,
    /// Why the endpoint did not run the request, if it did not.
    #[prost(enumeration = "EndpointFault", tag = "4")]
    pub fault: i32,
    /// The endpoint responded, so that `rate` is known.
    #[prost(bool, tag = "5")]
    pub responded: bool,
    /// Requests a second that the endpoint named as its limit; absent if it named
    /// none.
    #[prost(double, optional, tag = "6")]
    pub rate: Option<f64>,
}

/// Why an endpoint did not run a request for which a slot was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum EndpointFault {
    /// No fault: the endpoint ran the request, or the request was not sent.
    None = 0,
    /// The endpoint refused because all of its slots were busy.
    Shed = 1,
    /// The endpoint refused because it is draining.
    Draining = 2,
    /// No connection to the endpoint could be opened.
    Unreachable = 3,
}
