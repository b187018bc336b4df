//! `docs/architecture.md` names modules that exist.

use std::path::Path;

/// The quoted words of a page that name a path in the repository.
fn quoted_paths(page: &str) -> Vec<&str> {
    let quoted = page.split('`').skip(1).step_by(2);
    quoted
        .filter(|word| word.contains('/') && !word.contains(' ') && !word.contains('\n'))
        .collect()
}

#[test]
fn every_module_that_the_architecture_page_names_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let page =
        std::fs::read_to_string(root.join("docs/architecture.md")).expect("the page is there");
    let paths = quoted_paths(&page);
    assert!(paths.len() > 30, "only {} paths were found", paths.len());
    let missing: Vec<&&str> = paths
        .iter()
        .filter(|path| !root.join(path).exists())
        .collect();
    assert!(
        missing.is_empty(),
        "the page names what does not exist: {missing:?}"
    );
}
