use super::*;

#[test]
fn a_figure_that_the_system_does_not_give_is_left_out() {
    let stat = "7 (a ) b) S 1 2 3 4 5 6 7 8 9 10 250 40 0 0 20 0 1 0";
    assert_eq!(processor_ms(stat), Some((2500, 400)));
    for odd in [
        "",
        "7 (a",
        "7 (a) S 1 2 3",
        "7 (a) S 1 2 3 4 5 6 7 8 9 10 x 40",
        "7 (a) S 1 2 3 4 5 6 7 8 9 10 250",
    ] {
        assert_eq!(processor_ms(odd), None, "{odd:?}");
    }
    let huge = format!("7 (a) S 1 2 3 4 5 6 7 8 9 10 {} 40", u64::MAX);
    assert_eq!(processor_ms(&huge), None);
    assert_eq!(kib("Name:\tx\nVmRSS:\t  812 kB\n", "VmRSS:"), Some(812));
    for odd in ["", "VmRSS:\t812 MB", "VmRSS:\tmany kB", "VmHWM:\t812 kB"] {
        assert_eq!(kib(odd, "VmRSS:"), None, "{odd:?}");
    }
    let line = Descriptors {
        clients: 2,
        ..Descriptors::default()
    }
    .line(None);
    assert_eq!(
        line,
        json!({"clients": 2, "backends_idle": 0, "backends_busy": 0, "discovery": 0})
    );
}

#[test]
fn a_gauge_counts_what_is_held_however_that_ends() {
    let gauge = Gauge::default();
    let first = gauge.hold();
    let other = gauge.hold();
    assert_eq!(gauge.get(), 2);
    drop(first);
    let _ = std::panic::catch_unwind(std::panic::AssertUnwindSafe(move || {
        let _other = other;
        std::panic::resume_unwind(Box::new(()));
    }));
    assert_eq!(gauge.get(), 0);
}
