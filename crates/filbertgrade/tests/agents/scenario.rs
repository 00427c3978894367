//! Runs the scenarios of `tests/agents/scenarios/`, one test for each file.
//!
//! Commands; `n` counts VMs from 1, and `n,m` names several:
//! - `fleet N [regions=one]`: starts a fleet that serves requests.
//! - `load KEY`: creates a key and uses it on an open connection to every VM
//!   until the scenario ends. The key's name is any word.
//! - `withdraw KEY`: returns when the platform holds the withdrawal. `accepted
//!   KEY` waits for the end of the command and prints its exit code.
//! - `last_run KEY within=MS after=MS [vm=n]`: waits until `after` from the
//!   start of the withdrawal and tells whether the last request with the key
//!   ran within `within` of it.
//! - `longest_gap KEY vm=n under=MS [after=MS]`: whether the runs through that
//!   VM, from `after` the start of the load until now, are that close together.
//! - `answers KEY vm=n`: the kind of the last answer.
//! - `refused KEY vm=n`: all kinds of refusals since the load began.
//! - `request KEY vm=n`: one request; prints the kind of answer.
//! - `version WORD`: applies a configuration in which an open service has that
//!   name; `in_force WORD within=MS [vm=n]` waits for it on every VM; `follow WORD` asks
//!   every VM for it all the time, and `reverts WORD` counts the VMs that did
//!   not know it any more after they had served it.
//! - `cut n,m [store=BOOL] [peers=BOOL]`, `store FAULT=VALUE`,
//!   `signal n PROCESS SIGNAL`, `restart n PROCESS`, `kill n PROCESS`, `list n STATE`,
//!   `lookup n names=m`, `calls under=N`: whether the platform got fewer calls since the last
//!   `count`, `sleep MS`.
//! - `race WORD WORD`: applies both versions at once; how many were accepted.
//! - `pause_holder SIGNAL`: signals the agent that holds the allocator lease; `CONT` and
//!   `RESTART` go to the one that was signalled. `holders`: whether several agents held the lease so far.
//! - `shares`: what is wrong with the share tables that the platform held so far: a sum
//!   above 10,000, a token that went backward, or a last table without all units.

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

use crate::allocation::Allocation;
use crate::fleet::{Fleet, Regions, Vm, invoke, send};
use crate::load::{Load, request, runs, serves};

type Failure = Box<dyn Error>;

#[rstest]
fn scenario(#[files("tests/agents/scenarios/*")] path: PathBuf) {
    let mut world = World {
        runtime: Runtime::new().unwrap(),
        name: path.file_name().unwrap().to_string_lossy().into_owned(),
        fleet: None,
        keys: BTreeMap::new(),
        versions: BTreeMap::new(),
        counted: PlatformCounts::default(),
        allocation: Allocation::default(),
        paused: None,
    };
    goldenscript::run(&mut world, path).unwrap();
}

struct World {
    runtime: Runtime,
    name: String,
    fleet: Option<Fleet>,
    keys: BTreeMap<String, UsedKey>,
    versions: BTreeMap<String, Load>,
    counted: PlatformCounts,
    allocation: Allocation,
    paused: Option<usize>,
}

struct UsedKey {
    secret: String,
    load: Load,
    loaded_at: Instant,
    withdrawn_at: Option<Instant>,
    command: Option<JoinHandle<Option<i32>>>,
}

impl Drop for World {
    fn drop(&mut self) {
        let _inside = self.runtime.enter();
        self.keys.clear();
        self.versions.clear();
        self.fleet = None;
    }
}

impl Runner for World {
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
                    Regions::One
                } else {
                    Regions::Alternate
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
                let key = UsedKey {
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
                let last = runs(self.fleet(), &prefix).pop().ok_or("nothing ran")?;
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
                let mut at = self.key(&first).loaded_at + after;
                let mut gap = Duration::ZERO;
                let mut ends = runs(self.fleet(), &format!("{first}/vm-{vm}/"));
                ends.push(Instant::now());
                for run in ends {
                    gap = gap.max(run.saturating_duration_since(at));
                    at = at.max(run);
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
                let last = self.key(&first).load.answers(vm - 1).pop();
                let last = last.ok_or("no answer yet")?;
                out = format!("{} {}", last.status, last.cause);
            }
            "refused" => {
                let vm: usize = value(&mut args, "vm")?.ok_or("vm is missing")?;
                let answers = self.key(&first).load.answers(vm - 1);
                let kinds: BTreeSet<String> = answers
                    .iter()
                    .filter(|answer| answer.status != 200)
                    .map(|answer| format!("{} {}", answer.status, answer.cause))
                    .collect();
                out = kinds.into_iter().collect::<Vec<_>>().join(", ");
                if out.is_empty() {
                    out = "none".to_owned();
                }
            }
            "request" => {
                let vm: usize = value(&mut args, "vm")?.ok_or("vm is missing")?;
                let secret = self.key(&first).secret.clone();
                let req = request("chart", Some(&secret), "single");
                out = match runtime.block_on(send(self.fleet().vms[vm - 1].callers(), req)) {
                    Ok(answer) => {
                        let cause = answer.headers().get("filbertgrade-cause");
                        let cause = cause.map_or("", |cause| cause.to_str().unwrap());
                        format!("{} {cause}", answer.status().as_u16())
                    }
                    Err(_) => "no answer".to_owned(),
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
                let late = self.not_in_force(&first, only, within);
                out = late.map_or("yes".into(), |vm| format!("no, not on {vm}"));
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
                    let answers = load.answers(n);
                    let mut after = answers.iter().skip_while(|answer| answer.status != 200);
                    after.any(|answer| answer.status == 404)
                });
                out = reverted.count().to_string();
            }
            "cut" => {
                let vms = numbers(&first)?;
                if let Some(on) = value(&mut args, "store")? {
                    self.fleet().cut_from_store(&vms, on);
                }
                if let Some(on) = value(&mut args, "peers")? {
                    self.fleet().cut_from_peers(&vms, on);
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
                if let Some(answers) = value(&mut args, "lose")? {
                    platform.drop_next_responses(answers);
                }
                if let Some(lag) = value(&mut args, "vm_lag")? {
                    platform.set_vm_lag(Duration::from_millis(lag));
                }
                if let Some(answers) = value(&mut args, "lose_to_vms")? {
                    self.fleet().lose_store_answers(answers);
                }
            }
            "signal" => {
                let processes: Vec<String> = second.split('+').map(ToOwned::to_owned).collect();
                for n in numbers(&first)? {
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
                for n in numbers(&first)? {
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
                for n in numbers(&first)? {
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
                for n in numbers(&first)? {
                    let vm = &fleet.vms[n];
                    if second == "gone" {
                        fleet.platform.delete_vm(&vm.name);
                    } else {
                        let mut listed = vm.listed.clone();
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
                let sent = send(self.fleet().vms[vm - 1].callers(), req);
                let answer = runtime.block_on(sent).map_err(|e| e.to_string())?;
                let named = format!("\"vm-{names}\"");
                let body = String::from_utf8(answer.into_body().to_vec())?;
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
            "shares" => out = self.allocation.faults(),
            "holders" => {
                let several = self.allocation.holders() > 1;
                out = if several { "several" } else { "one" }.to_owned();
            }
            other => return Err(format!("unknown command {other}").into()),
        }
        args.reject_next()?;
        Ok(out)
    }
}

impl World {
    fn fleet(&self) -> &Fleet {
        self.fleet
            .as_ref()
            .expect("a scenario starts its fleet first")
    }

    fn key(&mut self, name: &str) -> &mut UsedKey {
        self.keys.get_mut(name).expect("the key was loaded before")
    }

    /// Waits while it looks at the share table and the lease. The allocator
    /// writes at most every 200 ms.
    fn sleep(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            if let Some(fleet) = &self.fleet {
                self.allocation.look(&fleet.platform);
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// The first VM that does not serve the version `within` that time.
    fn not_in_force(&self, word: &str, only: Option<usize>, within: Duration) -> Option<String> {
        let start = Instant::now();
        for (n, vm) in self.fleet().vms.iter().enumerate() {
            let probe = || async {
                let answer = send(vm.callers(), request(word, None, "probe")).await;
                answer.is_ok_and(|answer| answer.status() == 200)
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

    /// Two operators apply at once; how many were accepted, if the accepted
    /// version comes into force everywhere and stays.
    fn race(&self, words: &[String; 2]) -> Result<String, Failure> {
        let fleet = self.fleet();
        let (a, b) = self
            .runtime
            .block_on(async { tokio::join!(apply(fleet, &words[0]), apply(fleet, &words[1])) });
        let codes = [a?, b?];
        let accepted = |code: &Option<i32>| *code == Some(0) || *code == Some(8);
        let Some(winner) = codes.iter().position(accepted) else {
            return Ok(format!("none accepted: {codes:?}"));
        };
        for within in [Duration::from_secs(8), Duration::ZERO] {
            if let Some(vm) = self.not_in_force(&words[winner], None, within) {
                return Ok(format!("not in force on {vm}"));
            }
            std::thread::sleep(Duration::from_secs(2));
        }
        Ok(format!(
            "{} accepted",
            codes.iter().filter(|code| accepted(code)).count()
        ))
    }

    fn make_ready(&self) {
        let fleet = self.fleet();
        self.runtime.block_on(async {
            fleet.apply().await;
            let secret = fleet.create_key("atelier").await;
            let probe = |vm| serves_owned(vm, secret.clone());
            fleet.wait_until(Duration::from_secs(10), probe).await;
        });
    }

    /// Starts the command and waits until the platform holds the withdrawal.
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
        Err("the withdrawal did not reach the platform".into())
    }
}

fn value<T: FromStr>(args: &mut ArgumentConsumer<'_>, key: &str) -> Result<Option<T>, Failure>
where
    T::Err: Error + 'static,
{
    Ok(args.take_key(key).map(str::parse).transpose()?)
}

fn millis(args: &mut ArgumentConsumer<'_>, key: &str) -> Result<Option<Duration>, Failure> {
    Ok(value(args, key)?.map(Duration::from_millis))
}

/// Applies the fleet's configuration with an open service `word`; the exit code.
async fn apply(fleet: &Fleet, word: &str) -> Result<Option<i32>, Failure> {
    let file = tempfile::NamedTempFile::new()?;
    std::fs::write(file.path(), fleet.config().replace("size-list", word))?;
    let store = fleet.platform.addr().to_string();
    let path = file.path().to_str().ok_or("the path is not UTF-8")?;
    let args = ["apply", path, "--store", &store, "--wait-limit-ms", "0"];
    Ok(invoke(&args).await.status.code())
}

fn numbers(text: &str) -> Result<Vec<usize>, Failure> {
    text.split(',')
        .map(|n| Ok(n.parse::<usize>()? - 1))
        .collect()
}

async fn serves_owned(vm: std::net::SocketAddr, key: String) -> bool {
    serves(vm, &key).await
}
