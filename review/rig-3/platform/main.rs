//! Stand-ins and checks of the third review: `rig MODE RECORD`, from the repository's
//! root. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod ahead;
mod client;
mod crowd;
mod drill;
mod fleet;
mod http;
mod record;
mod server;
mod store;

use std::{env, fs, process::exit, sync::Arc};

fn main() {
    let words: Vec<String> = env::args().collect();
    let (Some(mode), Some(path)) = (words.get(1), words.get(2)) else {
        eprintln!("usage: rig MODE RECORD");
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = Arc::new(record::Record::new(path));
    record.say(&format!(
        "{mode}, {} the disruption",
        if trouble { "with" } else { "without" }
    ));
    let folder = env::temp_dir().join(format!("dogwoodshore-review-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    let code = match mode.as_str() {
        "door" => crowd::play(&record, &folder, trouble, crowd::Entry::Door),
        "ready" => crowd::play(&record, &folder, trouble, crowd::Entry::Ready),
        "ahead" => ahead::play(&record, &folder, trouble),
        "drill" => drill::play(&record, &folder, trouble),
        _ => {
            eprintln!("unknown mode {mode}");
            2
        }
    };
    if env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&folder);
    } else {
        println!("logs are in {}", folder.display());
    }
    exit(code);
}
