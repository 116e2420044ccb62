//! Generates the settings reference:
//! `cargo run -p settings --example settings-page > docs/SETTINGS.md`.

fn main() {
    print!("{}", settings::page::settings_page());
}
