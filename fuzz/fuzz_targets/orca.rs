#![no_main]

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| pulleystair_fuzz_checks::orca(bytes));
