//! Runs the scenarios in `tests/agents/scenarios/`, one test for each file.
//!
//! In the commands, `n` is the number of a VM, counted from 1, and `n,m` names
//! several VMs. Times are in milliseconds.
//!
//! Set-up and keys:
//! - `fleet N [regions=one]`: starts a fleet of N VMs and waits until all of them
//!   serve requests.
//! - `load KEY`: creates a key and sends requests with it to every VM, on an open
//!   connection, until the scenario ends. KEY is any word.
//! - `withdraw KEY`: starts the command that withdraws the key, and returns when
//!   the store holds the withdrawal. `accepted KEY` waits for the end of that
//!   command and prints its exit code.
//!
//! Checks of requests:
//! - `last_run KEY within=MS after=MS [vm=n]`: waits until `after` from the start
//!   of the withdrawal and prints whether the last request with the key started
//!   within `within` of that start.
//! - `longest_gap KEY vm=n under=MS [after=MS]`: prints whether the longest time
//!   between two requests that ran through that VM is at most `under`. It counts
//!   from `after` the start of the load until now.
//! - `answers KEY vm=n`: prints status and cause of the last response.
//! - `refused KEY vm=n`: prints status and cause of all responses other than 200
//!   since the start of the load, each once.
//! - `request KEY vm=n`: sends one request and prints status and cause.
//!
//! Configurations:
//! - `version WORD`: applies a configuration with an open service of that name
//!   and prints the exit code.
//! - `in_force WORD within=MS [vm=n]`: waits up to `within` until every VM, or VM
//!   n, serves it, and prints whether they do.
//! - `follow WORD`: sends requests for it to every VM until the scenario ends.
//! - `reverts WORD`: prints the number of VMs that responded with 404 (unknown
//!   service) after they had served it.
//! - `race WORD WORD`: applies two configurations at once and prints how many were
//!   accepted.
//!
//! Faults:
//! - `cut n,m [store=BOOL] [peers=BOOL]`: cuts VMs off from the store or their
//!   peers, or ends the cut.
//! - `store FAULT=VALUE`: sets a fault of the store: `down=BOOL`,
//!   `unresponsive=BOOL` (accepts calls and never responds), `delay=MS` of each
//!   call, `stale=N` (reads lag by N revisions), `history=N` (changes kept for
//!   watches), `lose=N` (the responses to the next N writes are lost),
//!   `vm_lag=MS` of the VM list, `lose_to_vms=BOOL` (responses to VMs are lost).
//! - `signal n PROCESS SIGNAL`, `restart n PROCESS`, `kill n PROCESS`: acts on
//!   processes of VMs; `agent+entry` names both.
//! - `list n STATE`: sets the state of VMs in the platform's list; `gone` removes
//!   them.
//! - `pause_holder SIGNAL`: sends a signal to the agent that holds the allocator
//!   lease. `CONT` and `RESTART` apply to the agent that was signalled last.
//!
//! Other:
//! - `lookup n names=m`: prints whether the lookup response of VM n names VM m.
//! - `count`: stores the number of calls to the store. `calls under=N`: prints
//!   whether fewer than N calls arrived since then.
//! - `sleep MS`: waits, and records the share table and the lease meanwhile.
//! - `holders`: prints whether one or several agents held the lease so far.
//! - `shares`: prints violations in the share tables that the store held so far: a
//!   sum above 10,000 units, a token that went backward, a version that was not
//!   recorded, or a last table that does not assign all units.

use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::{Duration, Instant};

use filbertgrade_standins::platform::PlatformCounts;
use goldenscript::{ArgumentConsumer, Command, Context, Runner};
use rstest::rstest;
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

use crate::allocation::AllocationHistory;
use crate::fleet::{Fleet, RegionLayout, Vm, invoke, send};
use crate::load::{Load, request, run_starts, serves};

type Failure = Box<dyn Error>;

#[rstest]
fn scenario(#[files("tests/agents/scenarios/*")] path: PathBuf) {
    let mut runner = ScenarioRunner {
        runtime: Runtime::new().unwrap(),
        name: path.file_name().unwrap().to_string_lossy().into_owned(),
        fleet: None,
        keys: BTreeMap::new(),
        versions: BTreeMap::new(),
        counted: PlatformCounts::default(),
        allocation: AllocationHistory::default(),
        paused: None,
    };
    goldenscript::run(&mut runner, path).unwrap();
}

/// State of a running scenario.
struct ScenarioRunner {
    runtime: Runtime,
    /// Name of the scenario file.
    name: String,
    /// `None` before the command `fleet`.
    fleet: Option<Fleet>,
    /// Keys by their names in the scenario.
    keys: BTreeMap<String, LoadedKey>,
    /// Requests that the command `follow` started, by service.
    versions: BTreeMap<String, Load>,
    /// Calls to the store at the last command `count`.
    counted: PlatformCounts,
    allocation: AllocationHistory,
    /// Index of the VM whose agent `pause_holder` signalled last.
    paused: Option<usize>,
}

/// A key that the command `load` created.
struct LoadedKey {
    secret: String,
    load: Load,
    loaded_at: Instant,
    /// When the command that withdraws the key was started.
    withdrawn_at: Option<Instant>,
    /// The running command that withdraws the key; its result is the exit code.
    command: Option<JoinHandle<Option<i32>>>,
}

impl Drop for ScenarioRunner {
    fn drop(&mut self) {
        let _inside = self.runtime.enter();
        self.keys.clear();
        self.versions.clear();
        self.fleet = None;
    }
}

impl Runner for ScenarioRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Failure> {
        let runtime = self.runtime.handle().clone();
        let _inside = runtime.enter();
        let mut args = command.consume_args();
        let first = args.next_pos().map(ToString::to_string).unwrap_or_default();
        let second = args.next_pos().map(ToString::to_string).unwrap_or_default();
        let third = args.next_pos().map(ToString::to_string).unwrap_or_default();
        let mut out = String::new();
        match command.name.as_str() {
            "fleet" => {
                let one = value::<String>(&mut args, "regions")?.as_deref() == Some("one");
                let regions = if one {
                    RegionLayout::NorthOnly
                } else {
                    RegionLayout::Alternate
                };
                let fleet = runtime.block_on(Fleet::start_proxied(first.parse()?, regions));
                self.fleet = Some(fleet);
                self.make_ready();
            }
            "load" => {
                let fleet = self.fleet();
                let secret = runtime.block_on(fleet.create_key("atelier"));
                let probe = |vm| serves_owned(vm, secret.clone());
                runtime.block_on(fleet.wait_until(Duration::from_secs(8), probe));
                let load = Load::start(fleet, "chart", Some(&secret), &first);
                let key = LoadedKey {
                    secret,
                    load,
                    loaded_at: Instant::now(),
                    withdrawn_at: None,
                    command: None,
                };
                self.keys.insert(first, key);
                std::thread::sleep(Duration::from_millis(500));
            }
            "withdraw" => self.withdraw(&first)?,
            "accepted" => {
                let command = self.key(&first).command.take().ok_or("not withdrawn")?;
                out = runtime
                    .block_on(command)?
                    .map_or("signal".into(), |c| c.to_string());
            }
            "last_run" => {
                let within = millis(&mut args, "within")?.ok_or("within is missing")?;
                let after = millis(&mut args, "after")?.ok_or("after is missing")?;
                let vm = value::<usize>(&mut args, "vm")?;
                let withdrawn_at = self.key(&first).withdrawn_at.ok_or("not withdrawn")?;
                std::thread::sleep(
                    (withdrawn_at + after).saturating_duration_since(Instant::now()),
                );
                let prefix = vm.map_or(format!("{first}/"), |n| format!("{first}/vm-{n}/"));
                let last = run_starts(self.fleet(), &prefix)
                    .pop()
                    .ok_or("nothing ran")?;
                let took = last.saturating_duration_since(withdrawn_at);
                eprintln!(
                    "event=measured scenario={} key={first} last_run_ms={}",
                    self.name,
                    took.as_millis()
                );
                out = if took <= within {
                    "yes".into()
                } else {
                    format!("no, {took:?}")
                };
            }
            "longest_gap" => {
                let under = millis(&mut args, "under")?.ok_or("under is missing")?;
                let after = millis(&mut args, "after")?.unwrap_or_default();
                let vm: usize = value(&mut args, "vm")?.ok_or("vm is missing")?;
                let mut gap_start = self.key(&first).loaded_at + after;
                let mut gap = Duration::ZERO;
                let mut run_times = run_starts(self.fleet(), &format!("{first}/vm-{vm}/"));
                run_times.push(Instant::now());
                for run in run_times {
                    gap = gap.max(run.saturating_duration_since(gap_start));
                    gap_start = gap_start.max(run);
                }
                eprintln!(
                    "event=measured scenario={} vm={vm} longest_gap_ms={}",
                    self.name,
                    gap.as_millis()
                );
                out = if gap <= under {
                    "yes".into()
                } else {
                    format!("no, {gap:?}")
                };
            }
            "answers" => {
                let vm: usize = value(&mut args, "vm")?.ok_or("vm is missing")?;
                let last = self.key(&first).load.responses(vm - 1).pop();
                let last = last.ok_or("no response yet")?;
                out = format!("{} {}", last.status, last.cause);
            }
            "refused" => {
                let vm: usize = value(&mut args, "vm")?.ok_or("vm is missing")?;
                let responses = self.key(&first).load.responses(vm - 1);
                let refusals: BTreeSet<String> = responses
                    .iter()
                    .filter(|response| response.status != 200)
                    .map(|response| format!("{} {}", response.status, response.cause))
                    .collect();
                out = refusals.into_iter().collect::<Vec<_>>().join(", ");
                if out.is_empty() {
                    out = "none".to_owned();
                }
            }
            "request" => {
                let vm: usize = value(&mut args, "vm")?.ok_or("vm is missing")?;
                let secret = self.key(&first).secret.clone();
                let req = request("chart", Some(&secret), "single");
                out = match runtime.block_on(send(self.fleet().vms[vm - 1].caller_address(), req)) {
                    Ok(response) => {
                        let cause = response.headers().get("filbertgrade-cause");
                        let cause = cause.map_or("", |cause| cause.to_str().unwrap());
                        format!("{} {cause}", response.status().as_u16())
                    }
                    Err(_) => "no response".to_owned(),
                };
            }
            "version" => {
                let code = runtime.block_on(apply(self.fleet(), &first))?;
                out = code.map_or("signal".into(), |c| c.to_string());
            }
            "race" => out = self.race(&[first, second])?,
            "in_force" => {
                let within = millis(&mut args, "within")?.ok_or("within is missing")?;
                let only = value::<usize>(&mut args, "vm")?;
                let start = Instant::now();
                let missing = self.not_in_force(&first, only, within);
                out = missing.map_or("yes".into(), |vm| format!("no, not on {vm}"));
                eprintln!(
                    "event=measured scenario={} version={first} in_force_ms={}",
                    self.name,
                    start.elapsed().as_millis()
                );
            }
            "follow" => {
                let load = Load::start(self.fleet(), &first, None, &first);
                self.versions.insert(first, load);
            }
            "reverts" => {
                let load = self.versions.get(&first).ok_or("not followed")?;
                let vms = 0..self.fleet().vms.len();
                let reverted = vms.filter(|&n| {
                    let responses = load.responses(n);
                    let mut after = responses
                        .iter()
                        .skip_while(|response| response.status != 200);
                    after.any(|response| response.status == 404)
                });
                out = reverted.count().to_string();
            }
            "cut" => {
                let vms = vm_indices(&first)?;
                if let Some(on) = value(&mut args, "store")? {
                    self.fleet().set_store_isolation(&vms, on);
                }
                if let Some(on) = value(&mut args, "peers")? {
                    self.fleet().set_peer_isolation(&vms, on);
                }
            }
            "store" => {
                let platform = &self.fleet().platform;
                if let Some(down) = value(&mut args, "down")? {
                    platform.set_down(down);
                }
                if let Some(unresponsive) = value(&mut args, "unresponsive")? {
                    platform.set_unresponsive(unresponsive);
                }
                if let Some(delay) = value(&mut args, "delay")? {
                    platform.set_delay(Duration::from_millis(delay));
                }
                if let Some(revisions) = value(&mut args, "stale")? {
                    platform.set_stale_reads(revisions);
                }
                if let Some(changes) = value(&mut args, "history")? {
                    platform.set_history(changes);
                }
                if let Some(writes) = value(&mut args, "lose")? {
                    platform.drop_next_responses(writes);
                }
                if let Some(lag) = value(&mut args, "vm_lag")? {
                    platform.set_vm_lag(Duration::from_millis(lag));
                }
                if let Some(on) = value(&mut args, "lose_to_vms")? {
                    self.fleet().withhold_store_responses(on);
                }
            }
            "signal" => {
                let processes: Vec<String> = second.split('+').map(ToOwned::to_owned).collect();
                for n in vm_indices(&first)? {
                    let vm = &self.fleet().vms[n];
                    for process in &processes {
                        let child = if process == "agent" {
                            &vm.agent
                        } else {
                            &vm.entry
                        };
                        Vm::signal(&[child], &third);
                    }
                }
            }
            "kill" => {
                for n in vm_indices(&first)? {
                    let vm = &self.fleet().vms[n];
                    let child = if second == "agent" {
                        &vm.agent
                    } else {
                        &vm.entry
                    };
                    Vm::signal(&[child], "KILL");
                }
            }
            "restart" => {
                for n in vm_indices(&first)? {
                    let vm = &mut self.fleet.as_mut().ok_or("no fleet")?.vms[n];
                    if second.contains("agent") {
                        vm.restart_agent();
                    }
                    if second.contains("entry") {
                        vm.restart_entry();
                    }
                }
            }
            "list" => {
                let fleet = self.fleet();
                for n in vm_indices(&first)? {
                    let vm = &fleet.vms[n];
                    if second == "gone" {
                        fleet.platform.delete_vm(&vm.name);
                    } else {
                        let mut listed = vm.platform_record.clone();
                        listed.state.clone_from(&second);
                        fleet.platform.put_vm(&listed);
                    }
                }
            }
            "lookup" => {
                let vm: usize = first.parse()?;
                let names: usize = value(&mut args, "names")?.ok_or("names is missing")?;
                let req = request("v1", None, "lookup");
                let (mut parts, body) = req.into_parts();
                parts.uri = "/v1/lookup?client=10.1.0.7".parse()?;
                let req = http::Request::from_parts(parts, body);
                let sent = send(self.fleet().vms[vm - 1].caller_address(), req);
                let response = runtime.block_on(sent).map_err(|e| e.to_string())?;
                let named = format!("\"vm-{names}\"");
                let body = String::from_utf8(response.into_body().to_vec())?;
                out = if body.contains(&named) { "yes" } else { "no" }.to_owned();
            }
            "count" => self.counted = self.fleet().platform.counts(),
            "calls" => {
                let under: u64 = value(&mut args, "under")?.ok_or("under is missing")?;
                let (old, new) = (self.counted, self.fleet().platform.counts());
                let calls =
                    new.reads + new.writes + new.watches - old.reads - old.writes - old.watches;
                eprintln!("event=measured scenario={} calls={calls}", self.name);
                out = if calls < under {
                    "yes".into()
                } else {
                    format!("no, {calls}")
                };
            }
            "sleep" => self.sleep(Duration::from_millis(first.parse()?)),
            "pause_holder" => {
                let fleet = self.fleet.as_ref().ok_or("no fleet")?;
                if first == "RESTART" {
                    let paused = self.paused.ok_or("no holder was paused")?;
                    let fleet = self.fleet.as_mut().ok_or("no fleet")?;
                    fleet.vms[paused].restart_agent();
                    return Ok(out);
                }
                if first != "CONT" {
                    let holder = self.allocation.holder(&fleet.platform).ok_or("no holder")?;
                    self.paused = fleet.vms.iter().position(|vm| vm.name == holder);
                }
                let paused = self.paused.ok_or("no holder was paused")?;
                Vm::signal(&[&fleet.vms[paused].agent], &first);
            }
            "shares" => out = self.allocation.violations(),
            "holders" => {
                let several = self.allocation.holder_count() > 1;
                out = if several { "several" } else { "one" }.to_owned();
            }
            other => return Err(format!("unknown command {other}").into()),
        }
        args.reject_next()?;
        Ok(out)
    }
}

impl ScenarioRunner {
    fn fleet(&self) -> &Fleet {
        self.fleet
            .as_ref()
            .expect("a scenario starts its fleet first")
    }

    fn key(&mut self, name: &str) -> &mut LoadedKey {
        self.keys
            .get_mut(name)
            .expect("a scenario loads a key before it uses it")
    }

    /// Waits, and meanwhile records the share table and the lease every 2 ms. The
    /// allocator writes at most every 200 ms, so this is often enough to record
    /// every table.
    fn sleep(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            if let Some(fleet) = &self.fleet {
                self.allocation.record(&fleet.platform);
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Waits up to `within` until every VM, or only VM `only`, serves requests for
    /// `service`. Returns the first VM that does not.
    fn not_in_force(&self, service: &str, only: Option<usize>, within: Duration) -> Option<String> {
        let start = Instant::now();
        for (n, vm) in self.fleet().vms.iter().enumerate() {
            let probe = || async {
                let response = send(vm.caller_address(), request(service, None, "probe")).await;
                response.is_ok_and(|response| response.status() == 200)
            };
            while only.is_none_or(|only| only == n + 1) && !self.runtime.block_on(probe()) {
                if start.elapsed() > within {
                    return Some(vm.name.clone());
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        None
    }

    /// Applies two versions at once. Returns how many were accepted, if an
    /// accepted version comes into force on every VM and stays in force.
    fn race(&self, services: &[String; 2]) -> Result<String, Failure> {
        let fleet = self.fleet();
        let (a, b) = self.runtime.block_on(async {
            tokio::join!(apply(fleet, &services[0]), apply(fleet, &services[1]))
        });
        let codes = [a?, b?];
        let accepted = |code: &Option<i32>| *code == Some(0) || *code == Some(8);
        let Some(first_accepted) = codes.iter().position(accepted) else {
            return Ok(format!("none accepted: {codes:?}"));
        };
        for within in [Duration::from_secs(8), Duration::ZERO] {
            if let Some(vm) = self.not_in_force(&services[first_accepted], None, within) {
                return Ok(format!("not in force on {vm}"));
            }
            std::thread::sleep(Duration::from_secs(2));
        }
        Ok(format!(
            "{} accepted",
            codes.iter().filter(|code| accepted(code)).count()
        ))
    }

    /// Applies the configuration and waits until every VM serves requests.
    fn make_ready(&self) {
        let fleet = self.fleet();
        self.runtime.block_on(async {
            fleet.apply().await;
            let secret = fleet.create_key("atelier").await;
            let probe = |vm| serves_owned(vm, secret.clone());
            fleet.wait_until(Duration::from_secs(10), probe).await;
        });
    }

    /// Starts the command that withdraws the key, and waits until the store holds
    /// the withdrawal.
    fn withdraw(&mut self, name: &str) -> Result<(), Failure> {
        let store = self.fleet().platform.addr().to_string();
        let id = self
            .key(name)
            .secret
            .split('_')
            .nth(1)
            .ok_or("no id")?
            .to_owned();
        let withdrawn_at = Instant::now();
        let object = format!("keys/{id}");
        let command = tokio::spawn(async move {
            let args = [
                "key",
                "--store",
                &store,
                "--wait-limit-ms",
                "6000",
                "withdraw",
                &id,
            ];
            invoke(&args).await.status.code()
        });
        let key = self.key(name);
        (key.withdrawn_at, key.command) = (Some(withdrawn_at), Some(command));
        while withdrawn_at.elapsed() < Duration::from_secs(10) {
            let (_, value) = self.fleet().platform.get(&object).ok_or("no such key")?;
            if String::from_utf8(value.to_vec())?.contains("withdrawn") {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        Err("the withdrawal did not reach the store".into())
    }
}

/// Removes the argument `key` from the list and parses it; `None` when it is absent.
fn value<T: FromStr>(args: &mut ArgumentConsumer<'_>, key: &str) -> Result<Option<T>, Failure>
where
    T::Err: Error + 'static,
{
    Ok(args.take_key(key).map(str::parse).transpose()?)
}

/// Removes the argument `key` from the list and parses it as a time in milliseconds.
fn millis(args: &mut ArgumentConsumer<'_>, key: &str) -> Result<Option<Duration>, Failure> {
    Ok(value(args, key)?.map(Duration::from_millis))
}

/// Applies the fleet's configuration with an open service named `service`. Returns the
/// exit code of the command, which is `None` when a signal ended it.
async fn apply(fleet: &Fleet, service: &str) -> Result<Option<i32>, Failure> {
    let file = tempfile::NamedTempFile::new()?;
    std::fs::write(file.path(), fleet.config().replace("size-list", service))?;
    let store = fleet.platform.addr().to_string();
    let path = file.path().to_str().ok_or("the path is not UTF-8")?;
    let args = ["apply", path, "--store", &store, "--wait-limit-ms", "0"];
    Ok(invoke(&args).await.status.code())
}

/// Parses a list of VM numbers such as `1,3` to indices counted from 0.
fn vm_indices(text: &str) -> Result<Vec<usize>, Failure> {
    text.split(',')
        .map(|n| Ok(n.parse::<usize>()? - 1))
        .collect()
}

async fn serves_owned(vm: std::net::SocketAddr, key: String) -> bool {
    serves(vm, &key).await
}
