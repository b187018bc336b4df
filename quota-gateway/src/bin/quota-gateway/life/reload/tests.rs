use super::*;
use serde_json::json;

#[test]
fn each_key_that_differs_is_named_and_no_other() {
    let before = json!({"discovery": "a", "limits": {"sockets": 1, "cores": 1.0},
        "plans": [{"name": "x", "rate": 1}, {"name": "y", "rate": 2}], "areas": ["a"], "gone": 1});
    let after = json!({"discovery": "b", "limits": {"sockets": 2, "cores": 1.0},
        "plans": [{"name": "y", "rate": 3}, {"name": "z", "rate": 4}], "areas": ["a", "b"], "new": {"k": 1}});
    let mut found = differences(&before, &after, &["discovery"]);
    found.sort();
    let wanted = [
        "areas",
        "gone",
        "limits.sockets",
        "new",
        "plans[x]",
        "plans[y].rate",
        "plans[z]",
    ];
    assert_eq!(found, wanted);
    assert!(differences(&before, &before, &[]).is_empty());
    assert_eq!(differences(&before, &json!(3), &[]), ["all"]);
}

#[test]
fn a_phrase_is_bounded() {
    let keys: Vec<String> = (0..10_000)
        .map(|n| format!("{n}{}", "k".repeat(1000)))
        .collect();
    let phrase = phrase(&keys);
    assert!(
        phrase.len() < 3500 && phrase.ends_with(" and 9960 more"),
        "{}",
        phrase.len()
    );
}
