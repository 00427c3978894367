//! Runs the case files in `tests/cases`. Each line is one of:
//!
//! - `block PREFIX SITE`: an entry of the table.
//! - `lookup ADDRESS SITE|none`: the expected result of a lookup in the table of all blocks.
//! - `refuse PREFIX SITE`: an entry that must make the build fail if added to the blocks.

use std::fs;
use std::path::PathBuf;

use filbertgrade_blocks::{BlockEntry, BlockTable, SiteId, Version};
use rstest::rstest;

fn entry(prefix: &str, site: &str) -> BlockEntry {
    let prefix = prefix.parse().expect("a prefix");
    BlockEntry {
        prefix,
        site: SiteId(site.parse().expect("a site")),
    }
}

// Guards against ranges with wrong bounds, and against invalid entries being accepted.
#[rstest]
fn case_file_gives_expected_results(#[files("tests/cases/*.txt")] path: PathBuf) {
    let text = fs::read_to_string(&path).unwrap();
    let lines: Vec<Vec<&str>> = text
        .lines()
        .filter(|line| !line.starts_with('#'))
        .map(|line| line.split_whitespace().collect())
        .collect();
    let blocks = lines.iter().filter(|line| line[0] == "block");
    let blocks: Vec<BlockEntry> = blocks.map(|line| entry(line[1], line[2])).collect();
    let table = BlockTable::build(Version(1), &blocks).unwrap();
    for line in &lines {
        match line[..] {
            ["block", ..] => {}
            ["lookup", addr, site] => {
                let found = table
                    .lookup(addr.parse().unwrap())
                    .map(|site| site.to_string());
                assert_eq!(found.as_deref().unwrap_or("none"), site, "{addr}");
            }
            ["refuse", prefix, site] => {
                let mut entries = blocks.clone();
                entries.push(entry(prefix, site));
                let err = BlockTable::build(Version(1), &entries).unwrap_err();
                assert_eq!(err.prefix(), entries[blocks.len()].prefix);
                assert!(err.to_string().contains(prefix), "{err}");
            }
            _ => panic!("unknown line {line:?} in {}", path.display()),
        }
    }
}
